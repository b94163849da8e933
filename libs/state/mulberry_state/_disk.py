"""Access to the files of a data folder; tests substitute `Disk`."""

import abc
import errno
import fcntl
import os
import pathlib

_TEMPORARY_SUFFIX = ".new"
_LOCK_FILE = "lock"
#: Removed when the folder is opened, should a crash leave it behind.
_PROBE_FILE = "probe" + _TEMPORARY_SUFFIX
_PROBE_BYTES = 4_096

#: Messages for errors that an operator can act on.
_MESSAGE_BY_ERRNO = {
    errno.ENOSPC: "the disk is full",
    errno.EDQUOT: "the disk quota is used up",
    errno.EROFS: "the data folder is read-only",
    errno.EACCES: "the data folder may not be written",
    errno.EPERM: "the data folder may not be written",
    errno.EIO: "the disk reports an input/output error",
}


class StorageError(Exception):
    """The data folder cannot be used; no further write is acknowledged."""


def storage_error(action: str, error: OSError) -> StorageError:
    """Returns a `StorageError` that describes a failed file operation."""
    code = error.errno or 0
    reason = _MESSAGE_BY_ERRNO.get(code, error.strerror or str(error))
    return StorageError(f"cannot {action}: {reason} (errno {code})")


def require_writable(disk: "Disk") -> None:
    """Writes, syncs and removes a small file.

    Raises:
        StorageError: The disk accepts no data.
    """
    try:
        file = disk.append(_PROBE_FILE)
        try:
            file.write(bytes(_PROBE_BYTES))
            file.sync()
        finally:
            file.close()
        disk.remove(_PROBE_FILE)
    except OSError as error:
        raise storage_error("write to the data folder", error) from error


class AppendFile(abc.ABC):
    """An append-only file; a crash may lose data that was not synced."""

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Appends all of `data`; raises OSError."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Flushes all data to the disk; raises OSError."""

    @abc.abstractmethod
    def truncate(self, size: int) -> None:
        """Truncates the file to `size` bytes; raises OSError."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the file."""


class Disk(abc.ABC):
    """The files of one data folder; all methods raise OSError."""

    @abc.abstractmethod
    def names(self) -> tuple[str, ...]:
        """Returns the sorted file names."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""

    @abc.abstractmethod
    def append(self, name: str) -> AppendFile:
        """Opens a file for appending, creating it if necessary."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing an existing file `new`."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Removes a file."""

    @abc.abstractmethod
    def sync_folder(self) -> None:
        """Makes created, renamed and removed files durable."""

    def close(self) -> None:  # noqa: B027 (most implementations hold no resources)
        """Releases the folder."""

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file atomically: a crash leaves the old or the new one."""
        temporary = name + _TEMPORARY_SUFFIX
        if temporary in self.names():
            self.remove(temporary)
        file = self.append(temporary)
        try:
            file.write(data)
            file.sync()
        finally:
            file.close()
        self.rename(temporary, name)
        self.sync_folder()


class _OsFile(AppendFile):
    def __init__(self, path: pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)

    def write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._descriptor, remaining) :]

    def sync(self) -> None:
        os.fdatasync(self._descriptor)

    def truncate(self, size: int) -> None:
        os.ftruncate(self._descriptor, size)

    def close(self) -> None:
        os.close(self._descriptor)


class OsDisk(Disk):
    """A folder of the file system, locked against other processes."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Locks the folder, creating it if necessary.

        Raises:
            StorageError: The folder cannot be created, or is in use.
        """
        self._folder = folder
        try:
            created = not folder.exists()
            folder.mkdir(parents=True, exist_ok=True)
            if created:
                _sync_path(folder.parent)
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            self._lock = os.open(folder / _LOCK_FILE, flags, 0o600)
        except OSError as error:
            raise storage_error(f"open {folder}", error) from error
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise StorageError(
                f"{folder} is in use by another process"
            ) from error

    def names(self) -> tuple[str, ...]:
        """Returns the sorted file names."""
        return tuple(
            sorted(
                name for name in os.listdir(self._folder) if name != _LOCK_FILE
            )
        )

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str) -> AppendFile:
        """Opens a file for appending, creating it if necessary."""
        return _OsFile(self._folder / name)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing an existing file `new`."""
        os.replace(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.remove(self._folder / name)

    def sync_folder(self) -> None:
        """Makes created, renamed and removed files durable."""
        _sync_path(self._folder)

    def close(self) -> None:
        """Unlocks the folder."""
        os.close(self._lock)


def _sync_path(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
