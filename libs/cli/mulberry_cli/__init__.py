"""The command-line tool `mulberrystage`."""

from mulberry_cli._main import main

__all__ = ["main"]
