"""Walks the pages: what they link to and name has to exist, so that they cannot silently grow old.

It reads files and runs nothing. The pages that tell of the past may name what is gone.
"""

import ast
import builtins
import re
from collections.abc import Iterator
from functools import cache
from math import isclose
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[3]
PAGES = sorted(
    path.relative_to(ROOT).as_posix()
    for path in (
        ROOT / "README.md",
        ROOT / "DEVELOPERS.md",
        ROOT / "CHANGES",
        *ROOT.glob("docs/**/*.md"),
    )
)
# They tell of earlier code in the words of its time.
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

SOURCE_FOLDERS = ("packages", "platform", "deploy", "examples", "bench")
MADE_BY_COMMANDS = ("target/", ".venv/")
FENCE = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
INDENTED = re.compile(r"^    .*$", re.MULTILINE)
INLINE_LINK = re.compile(r"\]\(([^)\s]+)\)")
REFERENCE = re.compile(r"^\[([^\]]+)\]:\s*(\S+)", re.MULTILINE)
REFERENCE_USE = re.compile(r"\[([^\]\n]+)\](?![(:])")
CODE = re.compile(r"`([^`\n]+)`")
MAKE_TARGET = re.compile(r"\bmake ([a-z][a-z-]*)")
MODULE_FILE = re.compile(r"(?!\*)[\w./-]*\w\.(?:py|proto|toml|sh|json|csv|txt)\Z")
DOTTED = re.compile(r"springbridge(?:_node|_ctl|_standins|_platform)?(?:\.\w+)+\Z")
CONSTANT = re.compile(r"[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+\Z")
FIGURE = re.compile(r"`([A-Z][A-Z0-9_]+)` (\d+(?:\.\d+)?)(?: (ms|KiB)\b)?")
UNITS = {"": 1.0, "ms": 0.001, "KiB": 1024.0}
NAMES = r"((?:`[A-Za-z_]+`(?:, | and )?)+)"
MODULE = r"\[([^\]]+\.py)\]"
NAMES_IN_A_MODULE = re.compile(f"{NAMES} in {MODULE}|{MODULE}, {NAMES}")
LOG_TYPE = re.compile(
    r"(?:springbridge\.)?"
    r"((?:node|request|engine|engines|member|peers|dependency|configuration|settings|scheduler|table"
    r"|order|invariant)\.[a-z_]+|fault|library)\Z"
)
LOG_ROW = re.compile(r"^\| ((?:`[a-z_.]+`(?:, )?)+) \| ([^|]+) \|", re.MULTILINE)
METRIC = re.compile(r"springbridge_[a-z_]+(?=\{|\Z)")
CLASS_NAME = re.compile(r"(?:(?:[A-Z][a-z]+){2,}(?:\.\w+)?|[A-Z][a-z]+\.\w+)\Z")
VARIABLE = re.compile(r"SPRINGBRIDGE(?:CTL)?_[A-Z_]+\Z")
FLAG = re.compile(r"--[a-z][a-z-]+")
# Options of the users' bench, which is not part of the repository.
BENCH_FLAGS = frozenset({"--days", "--jobs", "--log", "--most", "--seed"})
TEST_NAME = re.compile(r"(?:(\w+_test)\.py::)?(test_\w+)\Z")


def text_of(page: str) -> str:
    """Return a page."""
    return (ROOT / page).read_text()


def prose_of(page: str) -> str:
    """Return a page without its drawings and listings, in fences or indented."""
    return INDENTED.sub("", FENCE.sub("", text_of(page)))


def code_spans(page: str) -> Iterator[str]:
    """Yield what a page sets in code type inside its sentences."""
    for found in CODE.finditer(prose_of(page)):
        yield found[1].strip()


@cache
def source_files() -> tuple[Path, ...]:
    """Return all files that pages may name, but for the runs' records."""
    folders = (path for name in SOURCE_FOLDERS for path in (ROOT / name).rglob("*"))
    found = [path for path in folders if path.is_file() and "__pycache__" not in path.parts]
    return tuple(found + [path for path in ROOT.iterdir() if path.is_file()])


@cache
def python_files() -> tuple[Path, ...]:
    """Return all Python files but tests."""
    return tuple(path for path in source_files() if path.suffix == ".py" and not is_test(path))


def is_test(path: Path) -> bool:
    """Return whether a file holds tests."""
    return path.name.endswith("_test.py")


@cache
def python_text() -> str:
    """Return the text of all Python files but tests."""
    return "\n".join(path.read_text() for path in python_files())


@cache
def text_of_tests() -> str:
    """Return the text of all tests."""
    return "\n".join(path.read_text() for path in source_files() if is_test(path))


@cache
def assigned_names() -> frozenset[str]:
    """Return the names that modules and classes assign: constants and members of enumerations."""
    found: set[str] = set()
    for path in python_files():
        for node in ast.walk(ast.parse(path.read_text())):
            targets = (
                node.targets if isinstance(node, ast.Assign) else [getattr(node, "target", None)]
            )
            found.update(target.id for target in targets if isinstance(target, ast.Name))
    return frozenset(found)


@cache
def constant_values() -> dict[str, set[float]]:
    """Return the numbers that modules assign to each constant; one name may stand in several."""
    found: dict[str, set[float]] = {}
    for path in python_files():
        for node in ast.parse(path.read_text()).body:
            if not isinstance(node, ast.Assign) or not isinstance(node.targets[0], ast.Name):
                continue
            if is_arithmetic(node.value):
                value = float(eval(ast.unparse(node.value)))
                found.setdefault(node.targets[0].id, set()).add(value)
    return found


def is_arithmetic(value: ast.expr) -> bool:
    """Return whether an expression has numbers and operators only, so that it can be worked out."""
    return all(
        isinstance(part, ast.BinOp | ast.operator)
        or (isinstance(part, ast.Constant) and isinstance(part.value, int | float))
        for part in ast.walk(value)
    )


@cache
def log_types() -> frozenset[str]:
    """Return the types of all log lines, without the prefix."""
    return frozenset(re.findall(r"\bevent\(\s*\"([a-z_.]+)\"", python_text()))


@cache
def log_fields() -> dict[str, set[str]]:
    """Return the fields of each log type that are given by name."""
    found: dict[str, set[str]] = {}
    for path in python_files():
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            if name == "event" and isinstance(node.args[0], ast.Constant):
                fields = found.setdefault(node.args[0].value, set())
                fields.update(keyword.arg for keyword in node.keywords)
    return found


def log_rows(page: str) -> Iterator[tuple[list[str], set[str]]]:
    """Yield the types and the fields of each row in a page's tables of log lines."""
    for types, fields in LOG_ROW.findall(text_of(page)):
        names = [LOG_TYPE.match(span) for span in CODE.findall(types)]
        if all(names) and fields.strip() != "as above":
            yield [name[1] for name in names], {field.strip() for field in re.split("[,;]", fields)}


def log_types_named(page: str) -> set[str]:
    """Return the log types that a page names; `scheduler.py` is a module."""
    found = {LOG_TYPE.match(span) for span in code_spans(page) if not MODULE_FILE.match(span)}
    return {match[1] for match in found - {None}}


def missing(page: str, names: set[str], known) -> str:
    """Return what to say of the names that a page should not have."""
    return "".join(f"\n{page}: {name}" for name in sorted(names) if not known(name))


def is_file_of_sources(name: str) -> bool:
    """Return whether a path, or its end, is that of a file."""
    if name.startswith(MADE_BY_COMMANDS):
        return True
    return any(f"/{path.as_posix()}".endswith(f"/{name.lstrip('./')}") for path in source_files())


def is_module_or_member(name: str) -> bool:
    """Return whether a dotted name leads to a package, a module, or a name in a module."""
    parts = name.split(".")
    for roots in (ROOT.glob("packages/*"), ROOT.glob("platform")):
        for root in roots:
            path = root.joinpath(*parts)
            if path.is_dir() or path.with_suffix(".py").is_file():
                return True
            module = root.joinpath(*parts[:-1]).with_suffix(".py")
            if module.is_file() and re.search(rf"\b{parts[-1]}\b", module.read_text()):
                return True
    return False


def is_class_or_member(name: str) -> bool:
    """Return whether a class exists in the sources or in Python, and has the member named."""
    kind, _, member = name.partition(".")
    if hasattr(builtins, kind):
        return True
    pattern = re.compile(rf"^class {kind}\b.*?(?=^\S)", re.MULTILINE | re.DOTALL)
    bodies = [found[0] for found in pattern.finditer(python_text() + "\nend")]
    return any(not member or re.search(rf"\b{member}\b", body) for body in bodies)


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
    """Return the indented listings of a page."""
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
