"""Packages whose modules are imported when one of their names is used."""

import importlib
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any


def import_on_demand(
    package: str, names_by_module: Mapping[str, Sequence[str]]
) -> Callable[[str], Any]:
    """Returns the `__getattr__` of a package (PEP 562).

    A daemon uses a part of the libraries, and a start is an outage of as long
    as its imports take.

    Args:
        package: `__name__` of the package.
        names_by_module: The public names of each module of the package.

    Returns:
        A function that imports the module of a name at its first use.
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
        # Later uses find the name without this function.
        setattr(sys.modules[package], name, value)
        return value

    return load
