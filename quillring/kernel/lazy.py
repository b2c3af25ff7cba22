"""Lazy imports: a module is executed at its first use, which shortens process startup."""

from __future__ import annotations

import importlib.util
import sys
from typing import Any


def lazy_module(name: str) -> Any:
    """Return a module whose code runs when one of its attributes is accessed for the first time.

    Raises ModuleNotFoundError if there is no such module.
    """
    if name in sys.modules:
        return sys.modules[name]
    spec = importlib.util.find_spec(name)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(name)
    loader = importlib.util.LazyLoader(spec.loader)
    spec.loader = loader
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    loader.exec_module(module)
    return module
