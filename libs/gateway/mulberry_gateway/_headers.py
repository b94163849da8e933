"""Stores the header lines of a request in little memory."""

from collections.abc import Collection, Iterator, Sequence
from typing import overload

Header = tuple[str, str]

#: Lines that are kept as pairs of strings. Requests of ordinary callers have
#: fewer. A pair takes about 200 bytes, however short the line is, so a head of
#: 16 KiB in lines of four bytes would take 0.9 MB.
MAX_PAIRS = 64


class PackedHeaders(Sequence[Header]):
    """Immutable headers of which only the first are kept as pairs."""

    __slots__ = ("_count", "_packed", "_pairs")

    def __init__(
        self, pairs: Sequence[Header], packed: bytes, count: int
    ) -> None:
        """Creates the headers.

        Args:
            pairs: The first lines.
            packed: The other lines, each as `NAME:VALUE` after a newline. A
                name has no colon, and neither part has a newline.
            count: Number of all lines.
        """
        self._pairs = tuple(pairs)
        self._packed = packed
        self._count = count

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Header]:
        yield from self._pairs
        start = 1
        while start < len(self._packed):
            end = self._packed.find(b"\n", start)
            end = len(self._packed) if end < 0 else end
            name, _, value = self._packed[start:end].partition(b":")
            yield name.decode("latin-1"), value.decode("latin-1")
            start = end + 1

    @overload
    def __getitem__(self, index: int) -> Header: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[Header]: ...

    def __getitem__(self, index: int | slice) -> Header | Sequence[Header]:
        return tuple(self)[index]

    def values_of(self, name: str) -> Iterator[str]:
        """Yields the values of a header, given by its lower-case name."""
        for key, value in self._pairs:
            if key.lower() == name:
                yield value
        # Names are tokens, so all their characters are ASCII.
        lowered = self._packed.lower()
        wanted = b"\n%b:" % name.encode("latin-1")
        start = lowered.find(wanted)
        while start >= 0:
            value_start = start + len(wanted)
            end = lowered.find(b"\n", value_start)
            end = len(lowered) if end < 0 else end
            yield self._packed[value_start:end].decode("latin-1")
            start = lowered.find(wanted, end)


def values_of(headers: Sequence[Header], name: str) -> Iterator[str]:
    """Yields the values of a header, given by its name in any case."""
    wanted = name.lower()
    if isinstance(headers, PackedHeaders):
        yield from headers.values_of(wanted)
        return
    for key, value in headers:
        if key.lower() == wanted:
            yield value


def has_any(headers: Sequence[Header], names: Collection[str]) -> bool:
    """Whether one of these headers, named in lower case, is there."""
    if isinstance(headers, PackedHeaders):
        return any(True for name in names for _ in headers.values_of(name))
    return any(key.lower() in names for key, _ in headers)
