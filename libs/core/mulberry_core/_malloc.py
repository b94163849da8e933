"""Settings of the C library's memory allocator."""

import ctypes
import functools
import os
from collections.abc import Callable

from absl import logging

#: Numbers of the parameters in `malloc.h`.
_TRIM_THRESHOLD, _MMAP_THRESHOLD, _ARENA_MAX = -1, -3, -8
#: By default there are eight arenas per core, and each keeps what the threads
#: that used it have freed.
_ARENAS = 2
#: The number of arenas that an operator has set.
_ARENAS_VARIABLE = "MALLOC_ARENA_MAX"
#: Blocks from this size have pages of their own, which go back to the system
#: when they are freed. Without a fixed value the threshold rises to the size
#: of the largest body, and freed bodies stay in the heap. At 128 KiB, buffers
#: of ordinary requests cost system calls each time.
_MMAP_BYTES = 1 << 20
#: Free memory at the end of the heap that is kept.
_TRIM_BYTES = 4 << 20


def trim_heap() -> None:
    """Returns the free memory between used blocks to the system.

    Does nothing with another C library than glibc. Takes some milliseconds.
    """
    trim = _find_trim()
    if trim is not None:
        trim(ctypes.c_size_t(0))


@functools.cache
def _find_trim() -> Callable[[ctypes.c_size_t], int] | None:
    try:
        return ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        logging.info("this C library has no malloc_trim")
        return None


def return_freed_memory() -> None:
    """Makes `malloc` return freed blocks to the system where it can.

    Does nothing with another C library than glibc.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        logging.info("this C library has no mallopt")
        return
    values = [(_MMAP_THRESHOLD, _MMAP_BYTES), (_TRIM_THRESHOLD, _TRIM_BYTES)]
    if _ARENAS_VARIABLE not in os.environ:
        values.append((_ARENA_MAX, _ARENAS))
    for parameter, value in values:
        if mallopt(ctypes.c_int(parameter), ctypes.c_int(value)) != 1:
            logging.warning("mallopt(%d, %d) failed", parameter, value)
