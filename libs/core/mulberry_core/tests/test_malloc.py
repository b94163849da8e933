"""Tests of the settings of the memory allocator."""

import subprocess
import sys

#: Frees most of 40 MB in blocks that are too small for pages of their own,
#: between blocks that stay in use, and prints the resident pages.
_FRAGMENT = """
import pathlib
import mulberry_core as core

def resident():
    return int(pathlib.Path("/proc/self/statm").read_text().split()[1])

core.return_freed_memory()
blocks = [bytes(40_000) for _ in range(1_000)]
blocks = blocks[::16]
before = resident()
core.trim_heap()
print(before, resident())
"""


def test_free_memory_between_used_blocks_is_returned() -> None:
    """Guards against a heap that keeps what crowds of clients have freed."""
    printed = subprocess.run(
        [sys.executable, "-c", _FRAGMENT],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    before, after = (int(pages) for pages in printed.split())
    # 37 MB are freed; pages have 4 KiB, or 64 KiB on some machines.
    assert after < before / 2
