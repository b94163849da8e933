"""An in-memory data folder that can lose unsynced data."""

import random
import threading

from mulberry_state import _disk


class MemoryDisk(_disk.Disk):
    """Tracks what processes see and what would survive a crash.

    Every mutating operation counts as one step. From step `fail_at` on, steps
    raise, so that tests can stop a process at each of them.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._data_by_name: dict[str, bytearray] = {}
        self._synced_by_id: dict[int, bytes] = {}
        #: Files for which a sync has failed. Their pages may be marked as
        #: clean, so that later syncs write nothing and succeed.
        self._dropped_ids: set[int] = set()
        self._durable_names: dict[str, bytearray] = {}
        #: Number of steps so far.
        self.steps = 0
        #: Step from which the disk fails; negative for never.
        self.fail_at = -1
        #: Exception that a failing step raises.
        self.error = OSError(5, "injected fault")
        #: Names of the steps, for debugging failed tests.
        self.step_names: list[str] = []

    def names(self) -> tuple[str, ...]:
        """Returns the sorted file names."""
        with self._lock:
            return tuple(sorted(self._data_by_name))

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        with self._lock:
            return bytes(self._data_by_name[name])

    def append(self, name: str) -> _disk.AppendFile:
        """Opens a file for appending, creating it if necessary."""
        with self._lock:
            if name not in self._data_by_name:
                self.step(f"create {name}")
                content = bytearray()
                self._data_by_name[name] = content
                self._synced_by_id[id(content)] = b""
                self._dropped_ids.discard(id(content))
            return _MemoryFile(self, name, self._data_by_name[name])

    def rename(self, old: str, new: str) -> None:
        """Renames a file."""
        with self._lock:
            self.step(f"rename {old}")
            self._data_by_name[new] = self._data_by_name.pop(old)

    def remove(self, name: str) -> None:
        """Removes a file."""
        with self._lock:
            self.step(f"remove {name}")
            del self._data_by_name[name]

    def sync_folder(self) -> None:
        """Makes the current file names survive a crash."""
        with self._lock:
            self.step("sync folder")
            self._durable_names = dict(self._data_by_name)

    def step(self, name: str) -> None:
        """Counts a step and raises if the disk fails at it."""
        self.steps += 1
        self.step_names.append(name)
        if 0 <= self.fail_at < self.steps:
            raise self.error

    def write(self, content: bytearray, data: bytes, name: str) -> None:
        """Appends to a file; a failing write leaves half of the data."""
        with self._lock:
            try:
                self.step(f"write {name}")
            except OSError:
                content += data[: len(data) // 2]
                raise
            content += data

    def sync(self, content: bytearray, name: str) -> None:
        """Makes the content of a file survive a crash."""
        with self._lock:
            try:
                self.step(f"sync {name}")
            except OSError:
                self._dropped_ids.add(id(content))
                raise
            if id(content) not in self._dropped_ids:
                self._synced_by_id[id(content)] = bytes(content)

    def truncate(self, content: bytearray, size: int, name: str) -> None:
        """Truncates a file."""
        with self._lock:
            self.step(f"truncate {name}")
            del content[size:]

    def after_crash(self, rng: random.Random) -> "MemoryDisk":
        """Returns the folder as a process finds it after a power loss.

        The file names are either the current ones or those of the last folder
        sync. Any prefix of the unsynced data may be present.
        """
        with self._lock:
            use_current_names = rng.random() < 0.5
            names = (
                self._data_by_name if use_current_names else self._durable_names
            )
            copy = MemoryDisk()
            for name, content in names.items():
                copy.put(name, self._content_after_crash(content, rng))
            return copy

    def put(self, name: str, data: bytes) -> None:
        """Stores a synced file, for example one that a test has corrupted."""
        content = bytearray(data)
        self._data_by_name[name] = content
        self._synced_by_id[id(content)] = bytes(data)
        self._durable_names[name] = content

    def _content_after_crash(
        self, content: bytearray, rng: random.Random
    ) -> bytes:
        synced = self._synced_by_id.get(id(content), b"")
        if len(content) < len(synced):
            return rng.choice((synced, bytes(content)))
        rest = content[len(synced) :]
        kept = bytearray(rest[: rng.randint(0, len(rest))])
        if kept and rng.random() < 0.3:
            # A later page may reach the disk before an earlier one.
            kept[: len(kept) // 2] = bytes(len(kept) // 2)
        return synced + bytes(kept)


class _MemoryFile(_disk.AppendFile):
    def __init__(self, disk: MemoryDisk, name: str, content: bytearray) -> None:
        self._disk = disk
        self._name = name
        self._content = content

    def write(self, data: bytes) -> None:
        self._disk.write(self._content, data, self._name)

    def sync(self) -> None:
        self._disk.sync(self._content, self._name)

    def truncate(self, size: int) -> None:
        self._disk.truncate(self._content, size, self._name)

    def close(self) -> None:
        pass
