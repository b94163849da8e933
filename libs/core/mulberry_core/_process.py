"""The end of a process."""

import os
from collections.abc import Callable

from absl import logging

_EXIT_FAILURE = 1


def end_process_after(run: Callable[[], None]) -> None:
    """Runs the main task and ends the process with it, whatever else runs.

    The interpreter waits for the threads of pools and servers. After an error
    of the main task these would keep a process that serves nobody and that
    nothing starts again.

    Args:
        run: The exit status is 0 after its return, 1 after an exception, and
            that of `SystemExit` where it raises this.
    """
    status = 0
    try:
        run()
    except SystemExit as exit_request:
        status = _exit_status(exit_request)
    except BaseException:
        logging.exception("the process ends: its main task failed")
        status = _EXIT_FAILURE
    os._exit(status)


def _exit_status(exit_request: SystemExit) -> int:
    if exit_request.code is None or isinstance(exit_request.code, int):
        return exit_request.code or 0
    logging.error("the process ends: %s", exit_request.code)
    return _EXIT_FAILURE
