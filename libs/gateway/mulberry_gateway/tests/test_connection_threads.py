"""Tests of the threads that serve connections."""

import threading

import pytest

from mulberry_gateway import _connection_threads


@pytest.fixture
def name(request: pytest.FixtureRequest) -> str:
    """Name of the threads of the test."""
    return str(request.node.name)


def _count(name: str) -> int:
    """Returns the number of threads with a name."""
    return sum(thread.name == name for thread in threading.enumerate())


def _wait_for_count(name: str, most: int) -> None:
    """Waits until at most this many threads with a name are left."""
    for thread in threading.enumerate():
        if thread.name == name and _count(name) > most:
            thread.join(0.2)


class _Crowd:
    """Tasks that run until they are released."""

    def __init__(self) -> None:
        self._running = threading.Semaphore(0)
        self._release = threading.Event()
        self._ended = threading.Semaphore(0)

    def run(self) -> None:
        """Is one of the tasks."""
        self._running.release()
        self._release.wait(10.0)
        self._ended.release()

    def wait_running(self, tasks: int) -> bool:
        """Whether so many further tasks run at one time."""
        return all(self._running.acquire(timeout=5.0) for _ in range(tasks))

    def finish(self, tasks: int) -> bool:
        """Releases the tasks; whether so many have ended."""
        self._release.set()
        return all(self._ended.acquire(timeout=5.0) for _ in range(tasks))


def test_a_crowd_leaves_few_threads(name: str) -> None:
    """Guards against the memory of threads that nobody is charged for.

    After a crowd of 400 clients, 400 idle threads kept 10 MB.
    """
    pool = _connection_threads.ConnectionThreads(100, name)
    crowd = _Crowd()
    for _ in range(100):
        pool.submit(crowd.run)
    assert crowd.wait_running(100)
    assert _count(name) == 100
    assert crowd.finish(100)
    _wait_for_count(name, _connection_threads.MAX_IDLE)
    assert _count(name) == _connection_threads.MAX_IDLE


def test_an_idle_thread_is_used_again(name: str) -> None:
    """Guards against a thread that is started for each connection."""
    pool = _connection_threads.ConnectionThreads(8, name)
    names = set()
    before = _count(name)
    for _ in range(20):
        crowd = _Crowd()
        pool.submit(crowd.run)
        assert crowd.wait_running(1)
        names.add(_count(name))
        assert crowd.finish(1)
    assert max(names) <= before + 2


def test_tasks_beyond_the_limit_wait_for_a_thread(name: str) -> None:
    """Guards against connections that are accepted and never served."""
    pool = _connection_threads.ConnectionThreads(2, name)
    crowd = _Crowd()
    for _ in range(5):
        pool.submit(crowd.run)
    assert crowd.wait_running(2)
    assert crowd.finish(5)


def test_join_waits_for_running_tasks_only(name: str) -> None:
    """Guards against a process that ends in the middle of an answer."""
    pool = _connection_threads.ConnectionThreads(2, name)
    crowd = _Crowd()
    for _ in range(3):
        pool.submit(crowd.run)
    assert crowd.wait_running(2)
    joiner = threading.Thread(target=pool.join, daemon=True)
    joiner.start()
    joiner.join(0.1)
    assert joiner.is_alive()
    assert crowd.finish(3)
    joiner.join(5.0)
    assert not joiner.is_alive()


def test_no_task_begins_once_the_process_ends(name: str) -> None:
    """Guards against clients that keep a stopped process alive."""
    pool = _connection_threads.ConnectionThreads(2, name)
    pool.join()
    with pytest.raises(RuntimeError):
        pool.submit(lambda: None)


def test_a_failed_task_ends_no_thread(name: str) -> None:
    """Guards against a pool that runs out of threads by errors."""
    pool = _connection_threads.ConnectionThreads(1, name)
    crowd = _Crowd()

    def fail() -> None:
        raise ValueError

    pool.submit(fail)
    pool.submit(crowd.run)
    assert crowd.wait_running(1)
    assert crowd.finish(1)


def test_a_thread_that_cannot_be_started_is_not_counted(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """Guards against places that are lost while threads are short."""
    pool = _connection_threads.ConnectionThreads(1, name)

    def fail(thread: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patched:
        patched.setattr(threading.Thread, "start", fail)
        with pytest.raises(RuntimeError):
            pool.submit(lambda: None)
    crowd = _Crowd()
    pool.submit(crowd.run)
    assert crowd.wait_running(1)
    assert crowd.finish(1)
