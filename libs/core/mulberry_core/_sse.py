"""Splits a byte stream into whole server-sent events."""

import re

#: Events end with an empty line; lines end with LF or CRLF.
_EVENT_END = re.compile(rb"\n\r?\n")


class SseSplitter:
    """Collects bytes and returns whole events, byte for byte as received.

    Any split of the input gives the same events.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def pending_bytes(self) -> int:
        """Length of the event that has not ended yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that end within `data`."""
        # One whole event in one read is by far the most frequent case.
        if (
            not self._buffer
            and data.endswith(b"\n\n")
            and data.find(b"\n\n") == len(data) - 2
            and b"\n\r\n" not in data
        ):
            return [data]
        buffer = self._buffer + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(buffer):
            events.append(buffer[start : match.end()])
            start = match.end()
        self._buffer = buffer[start:]
        return events
