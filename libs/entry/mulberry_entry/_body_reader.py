"""Reads the body of a request in pieces that are charged beforehand."""

import re
from typing import Any

import mulberry_core as core

#: Most that is received before the next charge, the buffer size of cheroot's
#: reader.
_PIECE_BYTES = 8_192
#: Longest line with the size of a chunk and its extensions.
_MAX_SIZE_LINE_BYTES = 4_096
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n\Z")
_LINE_ENDS = (b"\r\n", b"\n")


class BodyReader:
    """Reads one body; cheroot's own readers keep a whole body or chunk."""

    def __init__(
        self, http_request: Any, max_bytes: int, max_trailer_bytes: int
    ) -> None:
        """Creates a reader.

        Args:
            http_request: The cheroot request.
            max_bytes: Largest size of the body.
            max_trailer_bytes: Largest size of the lines after the last chunk.
        """
        self._request = http_request
        self._input = http_request.conn.rfile
        self._memory = http_request.conn.memory
        self._max_bytes = max_bytes
        self._max_trailer_bytes = max_trailer_bytes
        self._body = bytearray()

    def read(self) -> bytes | core.Refusal:
        """Returns the body, or a refusal if it is too large or incomplete.

        Raises:
            OSError: The connection failed or timed out.
        """
        if self._request.chunked_read:
            refusal = self._read_chunks()
        else:
            refusal = self._read_length(self._request.rfile.remaining)
        if isinstance(refusal, core.Refusal):
            return refusal
        self._request.is_body_read = True
        return bytes(self._body)

    def _read_length(self, length: int) -> core.Refusal | core.Missing:
        if length > self._max_bytes:
            return self._too_large()
        if isinstance(refusal := self._receive(length), core.Refusal):
            return refusal
        self._request.rfile.remaining = 0
        return core.Missing.UNSET

    def _read_chunks(self) -> core.Refusal | core.Missing:
        while True:
            line = self._input.readline(_MAX_SIZE_LINE_BYTES)
            match = _CHUNK_SIZE.match(line)
            if match is None:
                return self._incomplete(f"chunk size {line[:40]!r}")
            size = int(match[1], 16)
            if size == 0:
                return self._read_trailers()
            if len(self._body) + size > self._max_bytes:
                return self._too_large()
            if isinstance(refusal := self._receive(size), core.Refusal):
                return refusal
            end = self._input.read(2)
            if end != b"\r\n":
                return self._incomplete(f"end of a chunk {end!r}")

    def _read_trailers(self) -> core.Refusal | core.Missing:
        """Drops the lines after the last chunk."""
        remaining = self._max_trailer_bytes
        while remaining > 0:
            line = self._input.readline(remaining)
            if line in _LINE_ENDS:
                return core.Missing.UNSET
            if not line:
                return self._incomplete("end of the trailers")
            remaining -= len(line)
        return self._too_large()

    def _receive(self, size: int) -> core.Refusal | core.Missing:
        """Appends `size` bytes to the body."""
        whole = len(self._body) + size
        while (missing := whole - len(self._body)) > 0:
            piece_bytes = min(missing, _PIECE_BYTES)
            if not self._memory.charge_body(len(self._body) + piece_bytes):
                return out_of_memory()
            piece = self._input.read1(piece_bytes)
            if not piece:
                return self._incomplete(
                    f"body ends after {len(self._body)} of {whole} bytes"
                )
            self._body += piece
        return core.Missing.UNSET

    def _too_large(self) -> core.Refusal:
        return core.Refusal(
            core.ErrorKind.REQUEST_TOO_LARGE,
            core.RunState.NOT_RUN,
            f"at most {self._max_bytes} bytes are accepted",
        )

    def _incomplete(self, reason: str) -> core.Refusal:
        """Returns why the input ended, or what is wrong with it."""
        if self._memory.is_refused:
            return out_of_memory()
        if self._request.conn.timed_out:
            return core.Refusal(
                core.ErrorKind.REQUEST_TIMEOUT,
                core.RunState.NOT_RUN,
                "the body arrived too slowly",
            )
        return core.Refusal(
            core.ErrorKind.BAD_REQUEST,
            core.RunState.NOT_RUN,
            f"invalid body: {reason}",
        )


def out_of_memory() -> core.Refusal:
    """Returns the refusal of a request that does not fit into the memory."""
    return core.Refusal(
        core.ErrorKind.OVERLOADED,
        core.RunState.NOT_RUN,
        "requests take all the memory of this entry",
    )
