"""Tests of process exit."""

import subprocess
import sys

import pytest

#: Starts a non-daemon thread that outlives the main thread.
_PROGRAM = """
import threading
import mulberry_core as core

def run():
    threading.Thread(target=threading.Event().wait).start()
    {last}

core.end_process_after(run)
"""


@pytest.mark.parametrize(
    ("last", "code", "logged"),
    [
        ("raise OSError('address in use')", 1, "address in use"),
        ("raise SystemExit(2)", 2, ""),
        ("raise SystemExit('no settings')", 1, "no settings"),
        ("raise SystemExit", 0, ""),
        ("return", 0, ""),
    ],
)
def test_other_threads_do_not_delay_the_exit(
    last: str, code: int, logged: str
) -> None:
    """Guards against a process that keeps running after its main task."""
    ended = subprocess.run(
        [sys.executable, "-c", _PROGRAM.format(last=last)],
        capture_output=True,
        text=True,
        timeout=30.0,
        check=False,
    )
    assert ended.returncode == code
    assert logged in ended.stderr
