"""Tests of packages that import their modules lazily."""

import ast
import importlib
import pathlib
import types

import pytest

import mulberry_core as core

PACKAGES = (
    "mulberry_decisions",
    "mulberry_membership",
    "mulberry_rules",
    "mulberry_state",
)


def _names_by_module(package: types.ModuleType) -> dict[str, set[str]]:
    """Returns the names that the package imports, by module."""
    assert package.__file__
    tree = ast.parse(pathlib.Path(package.__file__).read_text())
    found: dict[str, set[str]] = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            _, _, module = node.module.partition(".")
            found.setdefault(module, set()).update(a.name for a in node.names)
    return found


@pytest.mark.parametrize("name", PACKAGES)
def test_every_public_name_is_importable(name: str) -> None:
    """Guards against a name that only the type checker can resolve."""
    package = importlib.import_module(name)
    for public in package.__all__:
        assert getattr(package, public) is not None
    names_by_module = _names_by_module(package)
    assert set().union(*names_by_module.values()) == set(package.__all__)
    for module, names in names_by_module.items():
        loaded = importlib.import_module(f"{name}.{module}")
        for public in names:
            assert getattr(package, public) is getattr(loaded, public)


def test_unknown_name_is_an_attribute_error() -> None:
    """Guards against exceptions that break `hasattr` and star imports."""
    load = core.import_on_demand("mulberry_core", {})
    with pytest.raises(AttributeError, match="no attribute 'absent'"):
        load("absent")
