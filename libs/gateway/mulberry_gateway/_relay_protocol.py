"""Messages of a connection to an upstream through another instance.

The sender sends one line of JSON with an `OpenRequest`, the relay answers one
line with whether the upstream's connection is open. Then the sender's bytes are
the input of the upstream, and the relay sends the output of the upstream in
frames: a length and that many bytes. An empty frame says that the upstream
closed its connection in order.
"""

import dataclasses
import enum
import json
import struct
from typing import Any

import mulberry_core as core

#: Maximum length of a line, with its end.
MAX_LINE_BYTES = 1_024
#: Maximum length of a frame's content; also what a relay keeps for each
#: direction of a connection.
MAX_FRAME_BYTES = 65_536
_HEADER = struct.Struct(">I")
#: Frame that ends the output of the upstream.
END_FRAME = _HEADER.pack(0)


class Reason(enum.Enum):
    """Why a relay opens no connection."""

    #: The upstream refused or reset the connection.
    REFUSED = "refused"
    #: The upstream did not accept the connection in time.
    TIMEOUT = "timeout"
    #: No upstream with this name and address is announced.
    UNKNOWN = "unknown"
    #: The relay's own link to the upstream has failed.
    CUT_OFF = "cut_off"
    #: The relay is shutting down.
    LEAVING = "leaving"
    #: The relay has too many connections open.
    BUSY = "busy"


#: Reasons that show that the upstream is at fault, and not a link.
UPSTREAM_REASONS = frozenset({Reason.REFUSED, Reason.TIMEOUT})


@dataclasses.dataclass(frozen=True)
class OpenRequest:
    """Asks a relay for a connection to an upstream."""

    upstream: str
    #: `IP:PORT` of the upstream.
    address: str
    #: How long the relay may try to connect, milliseconds.
    timeout_ms: int

    def encode(self) -> bytes:
        """Returns the line that opens a relayed connection."""
        return _encode_line(dataclasses.asdict(self))

    @classmethod
    def decode(cls, line: bytes) -> "OpenRequest | core.Missing":
        """Decodes a line; unset if it is malformed."""
        content = _decode_line(line)
        upstream, address = content.get("upstream"), content.get("address")
        timeout_ms = content.get("timeout_ms")
        if (
            not isinstance(upstream, str)
            or not isinstance(address, str)
            # A boolean is an integer, too.
            or type(timeout_ms) is not int
            or timeout_ms <= 0
        ):
            return core.Missing.UNSET
        return cls(upstream, address, timeout_ms)


#: Line of a relay whose connection to the upstream is open.
OPENED_LINE = b'{"opened": true}\n'


def encode_refusal(reason: Reason) -> bytes:
    """Returns the line of a relay that opens no connection."""
    return _encode_line({"opened": False, "reason": reason.value})


def decode_answer(line: bytes) -> bool | Reason:
    """Decodes a relay's line.

    Returns:
        True if the connection is open, the reason if the relay refused, and
        False for anything else.
    """
    content = _decode_line(line)
    if content.get("opened") is True:
        return True
    try:
        return Reason(content.get("reason"))
    except ValueError:
        return False


def encode_frame(data: bytes) -> bytes:
    """Returns a frame with some output of the upstream, which is not empty."""
    return _HEADER.pack(len(data)) + data


class FrameDecoder:
    """Takes frames apart that arrive in pieces of any size."""

    def __init__(self) -> None:
        self._header = b""
        #: Bytes of the current frame that have not arrived.
        self._missing_bytes = 0
        #: Whether the empty frame has arrived.
        self.has_ended = False
        #: Whether a frame was too long, so that nothing else is decoded.
        self.is_malformed = False

    def feed(self, data: bytes) -> bytes:
        """Returns the content in a piece; empty if there is none in it."""
        contents: list[bytes] = []
        position = 0
        while position < len(data):
            if self.has_ended or self.is_malformed:
                break
            if self._missing_bytes:
                content = data[position : position + self._missing_bytes]
                self._missing_bytes -= len(content)
                contents.append(content)
                position += len(content)
                continue
            needed = _HEADER.size - len(self._header)
            self._header += data[position : position + needed]
            position += needed
            if len(self._header) == _HEADER.size:
                self._begin_frame()
        return b"".join(contents)

    def _begin_frame(self) -> None:
        (length,) = _HEADER.unpack(self._header)
        self._header = b""
        self._missing_bytes = length
        self.has_ended = length == 0
        self.is_malformed = length > MAX_FRAME_BYTES


def _encode_line(content: dict[str, Any]) -> bytes:
    return json.dumps(content).encode() + b"\n"


def _decode_line(line: bytes) -> dict[str, Any]:
    """Returns the content of a line, empty if it is no JSON object."""
    try:
        content = json.loads(line)
    except (ValueError, RecursionError):
        return {}
    return content if isinstance(content, dict) else {}
