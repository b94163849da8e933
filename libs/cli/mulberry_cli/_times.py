"""Formatting of times."""

import time


def local_time(at_s: float) -> str:
    """Formats a Unix time as local time; returns a dash for 0 (unknown)."""
    if not at_s:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at_s))
