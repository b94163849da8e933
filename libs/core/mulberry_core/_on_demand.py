"""Lazy import of the modules of a package."""

import importlib
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any


def import_on_demand(
    package: str, names_by_module: Mapping[str, Sequence[str]]
) -> Callable[[str], Any]:
    """Returns a `__getattr__` that imports modules lazily (PEP 562).

    A daemon uses only parts of the libraries, and it is unavailable while it
    imports modules at its start.

    Args:
        package: `__name__` of the package.
        names_by_module: The public names of each module of the package.

    Returns:
        A function that imports the module of a name on first use.
    """
    module_by_name = {
        name: module
        for module, names in names_by_module.items()
        for name in names
    }

    def load(name: str) -> Any:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}"
            )
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        # Later lookups find the attribute without calling this function.
        setattr(sys.modules[package], name, value)
        return value

    return load
