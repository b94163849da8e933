"""Runs the Python examples of all README files."""

import pathlib
import re

import pytest

_ROOT = pathlib.Path(__file__).parents[4]
_READMES = sorted(_ROOT.glob("libs/*/README.md")) + [_ROOT / "README.md"]


@pytest.mark.parametrize("readme", _READMES, ids=lambda path: path.parent.name)
def test_example_runs(readme: pathlib.Path) -> None:
    """Guards against outdated examples."""
    examples = re.findall(r"```python\n(.*?)```", readme.read_text(), re.S)
    for example in examples:
        exec(compile(example, str(readme), "exec"), {"__name__": "example"})
