"""The daemon mulberrystaged."""

from mulberry_daemon._instance import Instance
from mulberry_daemon._main import main

__all__ = ["Instance", "main"]
