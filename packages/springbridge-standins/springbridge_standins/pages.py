"""Extracts names from the documentation and from the sources, for the test that compares them.

Files are only read, nothing is run. In a page, links and names count in sentences and tables, not
in drawings and code blocks.
"""

import ast
import builtins
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
SOURCE_FOLDERS = ("packages", "platform", "deploy", "examples", "bench")
GENERATED_FOLDERS = ("target/", ".venv/")
FENCE = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
INDENTED = re.compile(r"^    .*$", re.MULTILINE)
CODE = re.compile(r"`([^`\n]+)`")
MODULE_FILE = re.compile(r"(?!\*)[\w./-]*\w\.(?:py|proto|toml|sh|json|csv|txt)\Z")
LOG_TYPE = re.compile(
    r"(?:springbridge\.)?"
    r"((?:node|request|engine|engines|domain|member|members|peers|dependency|configuration|settings"
    r"|scheduler"
    r"|table|order|invariant|quarantine|lease|usage|scaling|store"
    r"|parts|path|tunnel|versions|inbound)\.[a-z_]+|fault|library)\Z"
)
LOG_ROW = re.compile(r"^\| ((?:`[a-z_.]+`(?:, )?)+) \| ([^|]+) \|", re.MULTILINE)


def text_of(page: str) -> str:
    """Return the text of a page, given by its path from the root."""
    return (ROOT / page).read_text()


def prose_of(page: str) -> str:
    """Return a page without its fenced and indented blocks (drawings and listings)."""
    return INDENTED.sub("", FENCE.sub("", text_of(page)))


def code_spans(page: str) -> Iterator[str]:
    """Yield the inline code spans of a page."""
    for found in CODE.finditer(prose_of(page)):
        yield found[1].strip()


@cache
def source_files() -> tuple[Path, ...]:
    """Return all files that pages may name, without the records of runs."""
    folders = (path for name in SOURCE_FOLDERS for path in (ROOT / name).rglob("*"))
    found = [path for path in folders if path.is_file() and "__pycache__" not in path.parts]
    return tuple(found + [path for path in ROOT.iterdir() if path.is_file()])


@cache
def python_files() -> tuple[Path, ...]:
    """Return all Python files except tests."""
    return tuple(path for path in source_files() if path.suffix == ".py" and not is_test(path))


def is_test(path: Path) -> bool:
    """Return whether a file is a test module."""
    return path.name.endswith("_test.py")


@cache
def python_text() -> str:
    """Return the joined text of all Python files except tests."""
    return "\n".join(path.read_text() for path in python_files())


@cache
def text_of_tests() -> str:
    """Return the joined text of all test modules."""
    return "\n".join(path.read_text() for path in source_files() if is_test(path))


@cache
def assigned_names() -> frozenset[str]:
    """Return all assigned names, among them constants and enum members."""
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
    """Return the numbers assigned to each module constant; modules may share a name."""
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
    """Return whether an expression has numbers and operators only, so that it can be evaluated."""
    return all(
        isinstance(part, ast.BinOp | ast.operator)
        or (isinstance(part, ast.Constant) and isinstance(part.value, int | float))
        for part in ast.walk(value)
    )


@cache
def log_types() -> frozenset[str]:
    """Return the types of all log events, without the prefix springbridge."""
    return frozenset(re.findall(r"\bevent\(\s*\"([a-z_.]+)\"", python_text()))


@cache
def log_fields() -> dict[str, set[str]]:
    """Return the keyword fields of each log type."""
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
    """Yield the types and the fields of each row in a page's tables of log events."""
    for types, fields in LOG_ROW.findall(text_of(page)):
        names = [LOG_TYPE.match(span) for span in CODE.findall(types)]
        if all(names) and fields.strip() != "as above":
            yield [name[1] for name in names], {field.strip() for field in re.split("[,;]", fields)}


def log_types_named(page: str) -> set[str]:
    """Return the log types that a page names; `scheduler.py` is a module, not a log type."""
    found = {LOG_TYPE.match(span) for span in code_spans(page) if not MODULE_FILE.match(span)}
    return {match[1] for match in found - {None}}


def is_file_of_sources(name: str) -> bool:
    """Return whether a name is a path of a source file, its end, or a generated file."""
    if name.startswith(GENERATED_FOLDERS):
        return True
    return any(f"/{path.as_posix()}".endswith(f"/{name.lstrip('./')}") for path in source_files())


def is_module_or_member(name: str) -> bool:
    """Return whether a dotted name is that of a package, a module, or a name used in a module."""
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
    """Return whether a class is in the sources and its body has the member, or it is a builtin."""
    kind, _, member = name.partition(".")
    if hasattr(builtins, kind):
        return True
    pattern = re.compile(rf"^class {kind}\b.*?(?=^\S)", re.MULTILINE | re.DOTALL)
    bodies = [found[0] for found in pattern.finditer(python_text() + "\nend")]
    return any(not member or re.search(rf"\b{member}\b", body) for body in bodies)
