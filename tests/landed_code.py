"""Imports the code of the landed version, an earlier one, as modules of the package `landed`.

tests/data/landed/sources.tar.xz holds the sources of commit c588ed9. Their imports of `quillring`
and `proving` are rewritten to `landed.quillring` and `landed.proving`. The two versions share only
third-party libraries and the data that the simulator passes between nodes.
"""

import ast
import importlib
import importlib.abc
import importlib.util
import sys
import tarfile
from pathlib import Path

PACKAGE = "landed"
MOVED_PACKAGES = ("quillring", "proving")
ARCHIVE = Path(__file__).parent / "data" / "landed" / "sources.tar.xz"


class MovedImports(ast.NodeTransformer):
    """Rewrites `from` imports of the moved packages to their names under `landed`."""

    def visit_ImportFrom(self, node):
        if node.module.partition(".")[0] in MOVED_PACKAGES:
            node.module = f"{PACKAGE}.{node.module}"
        return node


class LandedSources(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Finds and loads modules from the archive of sources."""

    def __init__(self):
        with tarfile.open(ARCHIVE) as archive:
            self.sources = {
                member.name: archive.extractfile(member).read().decode()
                for member in archive.getmembers()
                if member.isfile()
            }

    def _path(self, fullname):
        """Return (path in the archive or None, whether it is a package)."""
        path = "/".join(fullname.split(".")[1:])
        if f"{path}.py" in self.sources:
            return f"{path}.py", False
        return (f"{path}/__init__.py" if f"{path}/__init__.py" in self.sources else None), True

    def find_spec(self, fullname, path=None, target=None):
        if fullname.partition(".")[0] != PACKAGE:
            return None
        _, is_package = self._path(fullname)
        return importlib.util.spec_from_loader(fullname, self, is_package=is_package)

    def get_source(self, fullname):
        path, _ = self._path(fullname)
        return "" if path is None else self.sources[path]

    def is_package(self, fullname):
        return self._path(fullname)[1]

    def get_code(self, fullname):
        tree = MovedImports().visit(ast.parse(self.get_source(fullname)))
        return compile(tree, f"{PACKAGE}:{fullname}", "exec", dont_inherit=True)


def landed(name, attribute=None):
    """Return a module of the landed version, or an attribute of it, by its name there."""
    if not any(isinstance(finder, LandedSources) for finder in sys.meta_path):
        sys.meta_path.append(LandedSources())
    module = importlib.import_module(f"{PACKAGE}.{name}")
    return module if attribute is None else getattr(module, attribute)
