"""Import rules of the packages: no other package imports quillring.verbs."""

import ast
from pathlib import Path

import pytest

import quillring
from quillring.kernel.routes import ROUTES
from quillring.verbs import process

FOLDER = Path(quillring.__file__).parent
BELOW_VERBS = sorted(path for path in FOLDER.rglob("*.py") if path.parent.name != "verbs")


def imported_names(path):
    """Yield the full name of each import in a file, at any nesting level."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: a relative import"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


@pytest.mark.parametrize("path", BELOW_VERBS, ids=lambda path: str(path.relative_to(FOLDER)))
def test_no_other_package_imports_the_verbs(path):
    upward = [name for name in imported_names(path) if name.startswith("quillring.verbs")]
    assert upward == []


def test_a_process_serves_the_operators_routes():
    assert process.PLUGINS and ROUTES.find(("GET", "/v1/members")) is not None
