"""Long-running tasks, one for each connection and each peer."""

import threading
from collections.abc import Callable
from concurrent import futures

from absl import logging


class TaskPool:
    """Runs named tasks on threads and stops them together.

    A task receives an event that is set when it should end.
    """

    def __init__(self, name: str, max_tasks: int) -> None:
        self._stop = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            max_workers=max_tasks, thread_name_prefix=name
        )

    @property
    def stopping(self) -> threading.Event:
        """Set once the pool is being stopped."""
        return self._stop

    def spawn(
        self, name: str, task: Callable[[threading.Event], None]
    ) -> futures.Future[None]:
        """Starts `task` on a thread of its own; a failure is logged."""
        return self._executor.submit(self._run_logged, name, task)

    def stop(self) -> None:
        """Asks all tasks to end and waits until they have."""
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
