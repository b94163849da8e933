"""Opens one connection to an upstream over the first path that opens."""

import select
import time
from collections.abc import Iterator, Sequence

import mulberry_core as core
import mulberry_membership as membership
from mulberry_gateway import (
    _connection,
    _link_recorder,
    _relay_protocol,
    _relays,
    _upstream_paths,
)

#: Time after which the next path starts beside one that has not opened,
#: seconds.
STAGGER_S = 0.1
#: Longest time that a relay gets to connect, seconds, and as a share of the
#: time left, so that its answer arrives in time.
_RELAY_TIMEOUT_S = 0.3
_RELAY_SHARE = 0.8


class PathRace:
    """Starts paths one after the other and closes those that do not win.

    What is learned of the paths goes to the recorder. Used once, by one
    thread.
    """

    def __init__(
        self,
        upstream: membership.Upstream,
        recorder: _link_recorder.LinkRecorder,
        start_connecting: _connection.ConnectionStarter,
        timeout_s: float,
    ) -> None:
        self._upstream = upstream
        self._recorder = recorder
        self._start_connecting = start_connecting
        self._until_s = time.monotonic() + timeout_s
        self._path_by_fd: dict[int, _upstream_paths.Path] = {}
        #: Paths that may start whatever the others do.
        self._starts_at_once = 1
        #: `time.monotonic` when the next path starts beside the others.
        self._next_start_s = 0.0
        self._is_trial = False
        #: How the direct path failed.
        self._failure = _connection.ConnectionFailure.TIMEOUT

    def start_direct(self) -> _upstream_paths.Path | core.Missing:
        """Starts the direct path; unset if it failed at once."""
        connection = self._start_connecting(self._upstream.address)
        if isinstance(connection, _connection.ConnectionFailure):
            self._direct_failed(connection)
            return core.Missing.UNSET
        return _upstream_paths.DirectPath(connection)

    def start_relay(
        self, relay: _relays.Relay
    ) -> _upstream_paths.Path | core.Missing:
        """Starts the path over a relay; unset if it failed at once."""
        connection = _connection.Connection.start_connecting(relay.address)
        if isinstance(connection, _connection.ConnectionFailure):
            self._recorder.relay_failed(relay.name)
            return core.Missing.UNSET
        left_s = self._until_s - time.monotonic()
        timeout_s = min(_RELAY_TIMEOUT_S, _RELAY_SHARE * left_s)
        request = _relay_protocol.OpenRequest(
            self._upstream.name,
            self._upstream.address,
            max(1, int(timeout_s * 1000)),
        )
        return _upstream_paths.RelayPath(connection, relay, request)

    def run(
        self,
        paths: Iterator[_upstream_paths.Path | core.Missing],
        is_trial: bool = False,
    ) -> _upstream_paths.UpstreamConnection | _connection.ConnectionFailure:
        """Returns the first connection that opens, or why none did.

        Args:
            paths: Starts the next path whenever it is asked for one; unset
                for a path that has failed at once.
            is_trial: Whether the first path is the direct one, which only
                shows if the link works again, so that the second starts with
                it.
        """
        self._is_trial = is_trial
        self._starts_at_once = 2 if is_trial else 1
        try:
            return self._run(paths)
        finally:
            for path in self._path_by_fd.values():
                path.connection.close()

    def _run(
        self, paths: Iterator[_upstream_paths.Path | core.Missing]
    ) -> _upstream_paths.UpstreamConnection | _connection.ConnectionFailure:
        has_more = True
        while (now_s := time.monotonic()) < self._until_s:
            # A path may have opened while this process stood still, so the
            # pending ones are looked at before another one starts.
            wake_s = self._next_start_s if has_more else self._until_s
            if has_more and self._may_start(now_s):
                wake_s = now_s
            ready = self._wait(min(wake_s, self._until_s) - now_s)
            for path in ready:
                ended = self._proceed(path)
                if not isinstance(ended, core.Missing):
                    return ended
            if ready:
                continue
            if has_more and self._may_start(now_s):
                has_more = self._start(next(paths, None))
            elif not self._path_by_fd:
                return self._failure
        self._note_slow_paths()
        return _connection.ConnectionFailure.TIMEOUT

    def _may_start(self, now_s: float) -> bool:
        return (
            self._starts_at_once > 0
            or not self._path_by_fd
            or now_s >= self._next_start_s
        )

    def _start(self, path: _upstream_paths.Path | core.Missing | None) -> bool:
        """Adds a path that was started; returns whether there may be more."""
        if path is None:
            return False
        self._starts_at_once -= 1
        if isinstance(path, _upstream_paths.Path):
            self._path_by_fd[path.connection.fileno()] = path
            self._next_start_s = path.began_s + STAGGER_S
        return True

    def _wait(self, timeout_s: float) -> Sequence[_upstream_paths.Path]:
        """Returns the paths that can proceed, the direct one first."""
        poller = select.poll()
        for fd, path in self._path_by_fd.items():
            poller.register(fd, path.wanted_events)
        ready = poller.poll(max(0.0, timeout_s * 1000))
        paths = [self._path_by_fd[fd] for fd, _ in ready]
        return sorted(
            paths,
            key=lambda path: not isinstance(path, _upstream_paths.DirectPath),
        )

    def _proceed(
        self, path: _upstream_paths.Path
    ) -> (
        _upstream_paths.UpstreamConnection
        | _connection.ConnectionFailure
        | core.Missing
    ):
        """Continues a path; returns how the race ends, unset if it goes on."""
        progress = path.proceed()
        if isinstance(progress, core.Missing):
            return progress
        del self._path_by_fd[path.connection.fileno()]
        if isinstance(progress, _connection.ConnectionFailure):
            path.connection.close()
            self._path_failed(path, progress)
            # The next path starts at once.
            self._next_start_s = 0.0
            return core.Missing.UNSET
        if isinstance(progress, _upstream_paths.Verdict):
            path.connection.close()
            # Other relays wait for the same upstream.
            self._note_slow_paths(_upstream_paths.DirectPath)
            return progress.value
        if isinstance(path, _upstream_paths.RelayPath):
            self._note_slow_paths()
            self._recorder.relay_opened(self._upstream.name, path.relay.name)
        else:
            self._recorder.direct_opened(self._upstream.name)
        return progress

    def _path_failed(
        self,
        path: _upstream_paths.Path,
        failure: _connection.ConnectionFailure,
    ) -> None:
        if isinstance(path, _upstream_paths.RelayPath):
            self._recorder.relay_failed(path.relay.name)
        else:
            self._direct_failed(failure)

    def _direct_failed(self, failure: _connection.ConnectionFailure) -> None:
        self._failure = failure
        self._recorder.direct_failed(self._upstream.name, failure)

    def _note_slow_paths(
        self, kind: type[_upstream_paths.Path] = _upstream_paths.Path
    ) -> None:
        """Records the paths that have not opened although they had the time.

        In a trial a direct path has had the time once a relay has answered,
        which takes longer.
        """
        before_s = time.monotonic() - STAGGER_S
        for path in self._path_by_fd.values():
            is_trial = self._is_trial and isinstance(
                path, _upstream_paths.DirectPath
            )
            if isinstance(path, kind) and (
                is_trial or path.began_s <= before_s
            ):
                self._path_failed(path, _connection.ConnectionFailure.TIMEOUT)
