"""Connections to an upstream that are being opened, over one path each."""

import abc
import enum
import select
import time

import mulberry_core as core
from mulberry_gateway import (
    _connection,
    _relay_protocol,
    _relayed_connection,
    _relays,
)

#: A connection to an upstream, directly or over a relay.
UpstreamConnection = (
    _connection.Connection | _relayed_connection.RelayedConnection
)


class Verdict(enum.Enum):
    """What a relay that can tell says about an upstream it cannot reach."""

    REFUSED = _connection.ConnectionFailure.RESET
    TIMEOUT = _connection.ConnectionFailure.TIMEOUT


_VERDICT_BY_REASON = {
    _relay_protocol.Reason.REFUSED: Verdict.REFUSED,
    _relay_protocol.Reason.TIMEOUT: Verdict.TIMEOUT,
}

#: How a path went on: it is open, has failed, or needs more time (unset).
Progress = (
    UpstreamConnection | _connection.ConnectionFailure | Verdict | core.Missing
)


class Path(abc.ABC):
    """A path that is being opened; never waits."""

    def __init__(self, connection: _connection.Connection) -> None:
        self.connection = connection
        self.began_s = time.monotonic()

    @property
    @abc.abstractmethod
    def wanted_events(self) -> int:
        """Events of the connection after which to call `proceed`."""

    @abc.abstractmethod
    def proceed(self) -> Progress:
        """Continues after an event; returns how the path goes on."""


class DirectPath(Path):
    """A direct connection to the upstream."""

    @property
    def wanted_events(self) -> int:
        """Events of the connection after which to call `proceed`."""
        return select.POLLOUT

    def proceed(self) -> Progress:
        """Continues after an event; returns how the path goes on."""
        failure = self.connection.finish_connecting()
        return self.connection if isinstance(failure, core.Missing) else failure


class RelayPath(Path):
    """A connection to a relay, which connects to the upstream."""

    def __init__(
        self,
        connection: _connection.Connection,
        relay: _relays.Relay,
        request: _relay_protocol.OpenRequest,
    ) -> None:
        super().__init__(connection)
        self.relay = relay
        self._request = request
        self._is_connected = False
        self._line = b""

    @property
    def wanted_events(self) -> int:
        """Events of the connection after which to call `proceed`."""
        return select.POLLIN if self._is_connected else select.POLLOUT

    def proceed(self) -> Progress:
        """Continues after an event; returns how the path goes on."""
        return self._read() if self._is_connected else self._ask()

    def _ask(self) -> Progress:
        failure = self.connection.finish_connecting()
        if isinstance(failure, _connection.ConnectionFailure):
            return failure
        self._is_connected = True
        data = self._request.encode()
        # The line fits into the buffer of a new connection.
        if self.connection.send(data) != len(data):
            return _connection.ConnectionFailure.RESET
        return core.Missing.UNSET

    def _read(self) -> Progress:
        data = self.connection.receive(0.0)
        if data is _connection.ConnectionFailure.TIMEOUT:
            return core.Missing.UNSET
        if isinstance(data, _connection.ConnectionFailure):
            return _connection.ConnectionFailure.RESET
        self._line += data
        line, end, rest = self._line.partition(b"\n")
        if len(line) > _relay_protocol.MAX_LINE_BYTES:
            return _connection.ConnectionFailure.RESET
        if not end:
            return core.Missing.UNSET
        answer = _relay_protocol.decode_answer(line)
        if answer is True:
            return _relayed_connection.RelayedConnection(
                self.connection, self.relay, rest
            )
        if isinstance(answer, _relay_protocol.Reason):
            return _VERDICT_BY_REASON.get(
                answer, _connection.ConnectionFailure.RESET
            )
        return _connection.ConnectionFailure.RESET
