"""Settings of the C library's memory allocator."""

import ctypes

from absl import logging

#: Numbers of the parameters in `malloc.h`.
_TRIM_THRESHOLD, _MMAP_THRESHOLD, _ARENA_MAX = -1, -3, -8
#: By default there are eight arenas per core, and each keeps what the threads
#: that used it have freed.
_ARENAS = 2
#: Blocks from this size have pages of their own, which go back to the system
#: when they are freed. Without a fixed value the threshold rises to the size
#: of the largest body, and freed bodies stay in the heap.
_MMAP_BYTES = 131_072
#: Free memory at the end of the heap that is kept.
_TRIM_BYTES = 1 << 20


def return_freed_memory() -> None:
    """Makes `malloc` return freed blocks to the system where it can.

    Does nothing with another C library than glibc.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        logging.info("this C library has no mallopt")
        return
    for parameter, value in (
        (_ARENA_MAX, _ARENAS),
        (_MMAP_THRESHOLD, _MMAP_BYTES),
        (_TRIM_THRESHOLD, _TRIM_BYTES),
    ):
        if mallopt(ctypes.c_int(parameter), ctypes.c_int(value)) != 1:
            logging.warning("mallopt(%d, %d) failed", parameter, value)
