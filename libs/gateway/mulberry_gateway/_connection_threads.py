"""Threads that serve connections."""

import collections
import queue
import threading
from collections.abc import Callable

from absl import logging

#: Idle threads that are kept. A thread has a stack, and blocks that the allocator
#: keeps for it, which nobody is charged for while it is idle.
MAX_IDLE = 16

_Task = Callable[[], None]


class ConnectionThreads:
    """Runs each task on a thread of its own; surplus idle threads end."""

    def __init__(self, max_threads: int, name: str) -> None:
        """Creates a pool without threads; they are started as needed.

        Args:
            max_threads: Tasks that run at once; further ones wait.
            name: Name of the threads.
        """
        self._max_threads = max_threads
        self._name = name
        #: Notified when the last task has ended.
        self._changed = threading.Condition()
        self._threads = 0
        self._is_closed = False
        #: Where each idle thread waits for its next task, newest last.
        self._idle: list[queue.SimpleQueue[_Task]] = []
        #: Tasks without a thread.
        self._waiting: collections.deque[_Task] = collections.deque()

    def submit(self, task: _Task) -> None:
        """Runs a task.

        Raises:
            RuntimeError: No thread could be started, or the process ends.
        """
        with self._changed:
            if self._is_closed:
                raise RuntimeError(f"{self._name}: the process ends")
            if self._idle:
                self._idle.pop().put(task)
                return
            if self._threads >= self._max_threads:
                self._waiting.append(task)
                return
            self._threads += 1
        try:
            threading.Thread(
                target=self._work, args=(task,), name=self._name, daemon=True
            ).start()
        except RuntimeError:
            with self._changed:
                self._threads -= 1
                self._notify_if_idle()
            raise

    def join(self) -> None:
        """Takes no more tasks and waits for those that run.

        The threads do not hold up the end of the process themselves.
        """
        with self._changed:
            self._is_closed = True
            self._changed.wait_for(self._is_idle)

    def _work(self, task: _Task) -> None:
        tasks: queue.SimpleQueue[_Task] = queue.SimpleQueue()
        tasks.put(task)
        del task
        while True:
            self._run(tasks.get())
            with self._changed:
                if self._waiting:
                    tasks.put(self._waiting.popleft())
                    continue
                is_surplus = len(self._idle) >= MAX_IDLE
                if is_surplus:
                    self._threads -= 1
                else:
                    self._idle.append(tasks)
                self._notify_if_idle()
            if is_surplus:
                return

    def _is_idle(self) -> bool:
        return self._threads == len(self._idle)

    def _notify_if_idle(self) -> None:
        if self._is_idle():
            self._changed.notify_all()

    def _run(self, task: _Task) -> None:
        try:
            task()
        except Exception:
            logging.exception("%s: task failed", self._name)
