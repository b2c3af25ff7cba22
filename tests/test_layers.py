"""Which package may import which: the operators' verbs stand on top of all others."""

import ast
from pathlib import Path

import pytest

import quillring
from quillring.kernel.routes import ROUTES
from quillring.verbs import process

FOLDER = Path(quillring.__file__).parent
BELOW_VERBS = sorted(path for path in FOLDER.rglob("*.py") if path.parent.name != "verbs")


def imported_names(path):
    """Yield the full name of all that a file imports, wherever in it."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: a relative import"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


@pytest.mark.parametrize("path", BELOW_VERBS, ids=lambda path: str(path.relative_to(FOLDER)))
def test_nothing_below_the_verbs_imports_them(path):
    upward = [name for name in imported_names(path) if name.startswith("quillring.verbs")]
    assert upward == []


def test_a_process_serves_the_operators_routes():
    assert process.PLUGINS and ROUTES.find(("GET", "/v1/members")) is not None
