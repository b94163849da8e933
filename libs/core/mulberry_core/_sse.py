"""Splits a byte stream into whole server-sent events."""

import re

#: An event ends with an empty line; lines end with LF or CRLF.
_EVENT_END = re.compile(rb"\n\r?\n")


class SseSplitter:
    """Buffers bytes and returns complete events, byte for byte as received.

    The events do not depend on how the input is split into chunks.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def pending_bytes(self) -> int:
        """Length of the buffered, incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Appends `data` and returns the events that it completes."""
        # Fast path for the most common case: one complete event per read.
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
