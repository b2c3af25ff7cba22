"""The landed version's code beside the present one: its modules stand under the package `landed`.

tests/data/landed/sources.tar.xz holds the sources of commit c588ed9. Their imports of `quillring`
and `proving` are read as imports of `landed.quillring` and `landed.proving`, so nothing is shared
between the two versions but the libraries and what the simulator hands from one node to another.
"""

import ast
import importlib
import importlib.abc
import importlib.util
import sys
import tarfile
from pathlib import Path

PACKAGE = "landed"
MOVED = ("quillring", "proving")
ARCHIVE = Path(__file__).parent / "data" / "landed" / "sources.tar.xz"


class MovedImports(ast.NodeTransformer):
    """Lets absolute imports of the moved packages find them where they are now."""

    def visit_ImportFrom(self, node):
        if node.module.partition(".")[0] in MOVED:
            node.module = f"{PACKAGE}.{node.module}"
        return node


class LandedSources(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Finds and loads the modules of the archive."""

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
    """Return a module of the landed version, or what it holds, by the names they had there."""
    if not any(isinstance(finder, LandedSources) for finder in sys.meta_path):
        sys.meta_path.append(LandedSources())
    module = importlib.import_module(f"{PACKAGE}.{name}")
    return module if attribute is None else getattr(module, attribute)
