"""Process exit."""

import os
from collections.abc import Callable

from absl import logging

_EXIT_FAILURE = 1


def end_process_after(run: Callable[[], None]) -> None:
    """Runs the main task, then exits even if other threads still run.

    The interpreter waits for the threads of pools and servers at exit. After
    a failure of the main task they would keep the process alive: it would
    serve no requests, and no supervisor would restart it.

    Args:
        run: The main task. The exit status is 0 after it returns, 1 after an
            exception, and that of a raised `SystemExit`.
    """
    status = 0
    try:
        run()
    except SystemExit as exit_request:
        status = _exit_status(exit_request)
    except BaseException:
        logging.exception("exiting: the main task failed")
        status = _EXIT_FAILURE
    os._exit(status)


def _exit_status(exit_request: SystemExit) -> int:
    if exit_request.code is None or isinstance(exit_request.code, int):
        return exit_request.code or 0
    logging.error("exiting: %s", exit_request.code)
    return _EXIT_FAILURE
