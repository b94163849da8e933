"""Thread pool for long-running tasks."""

import threading
from collections.abc import Callable
from concurrent import futures

from absl import logging


class TaskPool:
    """Runs named tasks on threads and stops them together.

    Each task gets an event that is set when it must end.
    """

    def __init__(self, name: str, max_tasks: int) -> None:
        self._stop = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            max_workers=max_tasks, thread_name_prefix=name
        )

    @property
    def stopping(self) -> threading.Event:
        """Event that is set once the pool is stopping."""
        return self._stop

    def spawn(
        self, name: str, task: Callable[[threading.Event], None]
    ) -> futures.Future[None]:
        """Runs `task` on a thread of the pool and logs its exceptions."""
        return self._executor.submit(self._run_logged, name, task)

    def stop(self) -> None:
        """Signals all tasks to end and waits for them."""
        self._stop.set()
        self._executor.shutdown(wait=True, cancel_futures=True)

    def _run_logged(
        self, name: str, task: Callable[[threading.Event], None]
    ) -> None:
        try:
            task(self._stop)
        except Exception:
            logging.exception("task %s failed", name)
            raise


def run_step(name: str, step: Callable[[], object], was_sound: bool) -> bool:
    """Runs one step of a task that must go on after an error.

    Nothing would start the task again before the next start of the process.
    Only the first error in a row is logged.

    Args:
        name: Shown in the log line.
        step: The step.
        was_sound: What the step before returned; true for the first.

    Returns:
        Whether the step raised no error.
    """
    try:
        step()
    except Exception:
        if was_sound:
            logging.exception("%s failed; it is tried again", name)
        return False
    return True
