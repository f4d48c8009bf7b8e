"""Checks the documentation: links and names in it must exist, so that it cannot silently go stale.

Pages about the past may name what no longer exists.
"""

import re
from math import isclose

import pytest
from springbridge_standins.pages import (
    CODE,
    LOG_TYPE,
    MODULE_FILE,
    ROOT,
    assigned_names,
    code_spans,
    constant_values,
    is_class_or_member,
    is_file_of_sources,
    is_module_or_member,
    log_fields,
    log_rows,
    log_types,
    log_types_named,
    prose_of,
    python_text,
    text_of,
    text_of_tests,
)

PAGES = sorted(
    path.relative_to(ROOT).as_posix()
    for path in (
        ROOT / "README.md",
        ROOT / "DEVELOPERS.md",
        ROOT / "CHANGES",
        *ROOT.glob("docs/**/*.md"),
    )
)
# Pages that describe earlier code under its names of that time.
TELL_OF_THE_PAST = frozenset(
    {
        "CHANGES",
        "docs/incidents/2026-12-02-findwell-perth-2.md",
        "docs/incidents/2026-12-02-findwell-perth.md",
        "docs/incidents/2026-12-02-trinidad-north-2.md",
        "docs/incidents/2026-12-02-trinidad-north-3.md",
        "docs/incidents/2026-12-02-trinidad-north.md",
    }
)
NOW = [page for page in PAGES if page not in TELL_OF_THE_PAST]

INLINE_LINK = re.compile(r"\]\(([^)\s]+)\)")
REFERENCE = re.compile(r"^\[([^\]]+)\]:\s*(\S+)", re.MULTILINE)
REFERENCE_USE = re.compile(r"\[([^\]\n]+)\](?![(:])")
MAKE_TARGET = re.compile(r"\bmake ([a-z][a-z-]*)")
CONSTANT = re.compile(r"[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+\Z")
METRIC = re.compile(r"springbridge_[a-z_]+(?=\{|\Z)")
VARIABLE = re.compile(r"SPRINGBRIDGE(?:CTL)?_[A-Z_]+\Z")
FLAG = re.compile(r"--[a-z][a-z-]+")
FIGURE = re.compile(r"`([A-Z][A-Z0-9_]+)` (\d+(?:\.\d+)?)(?: (ms|KiB)\b)?")
UNITS = {"": 1.0, "ms": 0.001, "KiB": 1024.0}
NAMES = r"((?:`[A-Za-z_]+`(?:, | and )?)+)"
MODULE = r"\[([^\]]+\.py)\]"
NAMES_IN_A_MODULE = re.compile(f"{NAMES} in {MODULE}|{MODULE}, {NAMES}")
TEST_NAME = re.compile(r"(?:(\w+_test)\.py::)?(test_\w+)\Z")
DOTTED = re.compile(r"springbridge(?:_node|_ctl|_standins|_platform)?(?:\.\w+)+\Z")
CLASS_NAME = re.compile(r"(?:(?:[A-Z][a-z]+){2,}(?:\.\w+)?|[A-Z][a-z]+\.\w+)\Z")
# Options of the users' bench, which is not part of the repository.
BENCH_FLAGS = frozenset({"--days", "--jobs", "--log", "--most", "--no-cpu", "--seed", "--vary"})


def missing(page: str, names: set[str], known) -> str:
    """Return a message that lists the names of a page that are not known."""
    return "".join(f"\n{page}: {name}" for name in sorted(names) if not known(name))


@pytest.mark.parametrize("page", PAGES)
def test_links_lead_to_files(page):
    text = prose_of(page)
    targets = set(INLINE_LINK.findall(text)) | {target for _, target in REFERENCE.findall(text)}
    local = {target.partition("#")[0] for target in targets if "://" not in target}
    local.discard("")
    assert not missing(page, local, lambda name: ((ROOT / page).parent / name).exists())


@pytest.mark.parametrize("page", NOW)
def test_reference_links_are_defined_and_used(page):
    text = CODE.sub("", prose_of(page))
    defined = {name for name, _ in REFERENCE.findall(text)}
    used = set(REFERENCE_USE.findall(REFERENCE.sub("", text)))
    assert not missing(page, used, lambda name: name in defined)
    assert not missing(page, defined, lambda name: name in used)


@pytest.mark.parametrize("page", NOW)
def test_named_files_exist(page):
    named = {span for span in code_spans(page) if MODULE_FILE.match(span)}
    assert not missing(page, named, is_file_of_sources)


@pytest.mark.parametrize("page", NOW)
def test_named_modules_exist(page):
    named = {span for span in code_spans(page) if DOTTED.match(span)}
    named = {span for span in named if not LOG_TYPE.match(span)}
    assert not missing(page, named, is_module_or_member)


@pytest.mark.parametrize("page", NOW)
def test_named_constants_and_result_codes_exist(page):
    named = {span for span in code_spans(page) if CONSTANT.match(span)}
    named = {span for span in named if not VARIABLE.match(span) and not span.startswith("TCP_")}
    assert not missing(page, named, lambda name: name in assigned_names())


@pytest.mark.parametrize("page", NOW)
def test_figures_behind_constants_are_those_of_the_code(page):
    wrong = ""
    for name, figure, unit in FIGURE.findall(" ".join(prose_of(page).split())):
        values = constant_values().get(name, set())
        if values and not any(isclose(float(figure) * UNITS[unit], value) for value in values):
            wrong += f"\n{page}: {name} {figure} {unit} is {sorted(values)}"
    assert not wrong


@pytest.mark.parametrize("page", NOW)
def test_named_classes_and_their_members_exist(page):
    named = {span for span in code_spans(page) if CLASS_NAME.match(span)}
    assert not missing(page, named, is_class_or_member)


@pytest.mark.parametrize("page", NOW)
def test_names_stand_in_the_modules_that_pages_say(page):
    text = prose_of(page)
    files = dict(REFERENCE.findall(text))
    wrong = ""
    for before, module, module_first, after in NAMES_IN_A_MODULE.findall(REFERENCE.sub("", text)):
        target = files.get(module or module_first)
        if target is None:
            continue
        source = ((ROOT / page).parent / target).read_text()
        for name in CODE.findall(before or after):
            if not re.search(rf"\b{name}\b", source):
                wrong += f"\n{page}: {name} is not in {target}"
    assert not wrong


@pytest.mark.parametrize("page", NOW)
def test_make_targets_exist(page):
    named = set(MAKE_TARGET.findall(" ".join(code_spans(page)) + _listings(page)))
    targets = set(re.findall(r"^([a-z][a-z-]*):", text_of("Makefile"), re.MULTILINE))
    assert not missing(page, named, lambda name: name in targets)


def _listings(page: str) -> str:
    """Return the indented code blocks of a page."""
    lines = text_of(page).splitlines()
    return " " + " ".join(line for line in lines if line.startswith("    "))


@pytest.mark.parametrize("page", NOW)
def test_named_log_types_exist(page):
    assert not missing(page, log_types_named(page), lambda name: name in log_types())


@pytest.mark.parametrize("page", NOW)
def test_named_metrics_exist(page):
    packages = {path.name for path in ROOT.glob("p*/**/springbridge_*") if path.is_dir()}
    named = {found[0] for span in code_spans(page) if (found := METRIC.match(span))}
    sources = python_text()
    assert not missing(
        page,
        named - packages,
        lambda name: f'"{name}"' in sources or f'"{name.removesuffix("_total")}"' in sources,
    )


@pytest.mark.parametrize("page", NOW)
def test_named_flags_and_variables_exist(page):
    sources = python_text()
    variables = {span for span in code_spans(page) if VARIABLE.match(span)}
    flags = {flag for span in code_spans(page) for flag in FLAG.findall(span)}

    def is_setting(name: str) -> bool:
        flag = name.partition("_")[2].lower().replace("_", "-")
        return f'"{name}"' in sources or f'"{flag}"' in sources

    def is_flag(name: str) -> bool:
        return f'"{name}"' in sources or f'"{name[2:]}"' in sources

    assert not missing(page, variables, is_setting)
    assert not missing(page, flags - BENCH_FLAGS, is_flag)


@pytest.mark.parametrize("page", NOW)
def test_named_tests_exist(page):
    sources = text_of_tests()
    named = {found[2] for span in code_spans(page) if (found := TEST_NAME.match(span))}
    assert not missing(page, named, lambda name: f"def {name}(" in sources)


def test_fields_of_the_settings_page_are_read():
    page = text_of("docs/SETTINGS.md")
    rows = re.findall(r"^\| (`[^|]+`) \|", page, re.MULTILINE)
    fields = {name.split(".")[-1] for row in rows for name in CODE.findall(row)}
    fields = {name for name in fields if not name.startswith("--")}
    settings = (ROOT / "platform/springbridge_platform/settings.py").read_text()
    assert not missing("docs/SETTINGS.md", fields, lambda name: f'"{name}"' in settings)


def test_operations_page_names_every_log_type():
    page = "docs/OPERATIONS.md"
    named = log_types_named(page)
    assert not missing(page + " lacks", set(log_types()), lambda name: name in named)


def test_operations_page_names_the_fields_of_log_lines():
    page = "docs/OPERATIONS.md"
    named: dict[str, set[str]] = {}
    for types, fields in log_rows(page):
        known = set().union(*(log_fields()[name] for name in types))
        assert not missing(f"{page}, {types}", fields, lambda name, known=known: name in known)
        for name in types:
            named[name] = named.get(name, set()) | fields
    for name, fields in log_fields().items():
        assert not missing(f"{page} lacks of {name}", fields - named[name], lambda name: False)
