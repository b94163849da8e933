"""Times for readers."""

import time


def local_time(at_s: float) -> str:
    """Returns a Unix time in local time; a dash for an unknown time."""
    if not at_s:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at_s))
