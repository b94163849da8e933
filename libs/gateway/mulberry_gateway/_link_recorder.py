"""Records how connections to upstreams went, and logs changes of the links."""

import threading
from collections.abc import Callable

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _connection


class LinkRecorder:
    """Updates the health of the links; thread-safe."""

    def __init__(
        self,
        health: decisions.LinkHealth,
        counters: core.Counters,
        log: core.DecisionLog,
    ) -> None:
        self.health = health
        self._counters = counters
        self._log = log
        self._lock = threading.Lock()
        self._is_cut_off = False
        #: Called after each change of whether this instance is cut off; may be
        #: replaced before the first connection.
        self.on_cut_off_change: Callable[[], None] = _do_nothing

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance was cut off when that was last checked."""
        with self._lock:
            return self._is_cut_off

    def direct_opened(self, upstream: str) -> None:
        """Records a direct connection."""
        if self.health.direct_opened(upstream):
            self._log.note("link", keep=True, upstream=upstream, path="direct")
            self.check_cut_off()

    def direct_failed(
        self, upstream: str, failure: _connection.ConnectionFailure
    ) -> None:
        """Records that the direct path did not open."""
        self.health.direct_failed(
            upstream, failure is _connection.ConnectionFailure.TIMEOUT
        )

    def relay_opened(self, upstream: str, relay: str) -> None:
        """Records a connection over a relay."""
        self._counters.increment("gateway.relay.opened")
        if self.health.relay_opened(upstream, relay):
            self._log.note(
                "link", keep=True, upstream=upstream, path="relay", relay=relay
            )
            self.check_cut_off()

    def relay_failed(self, relay: str) -> None:
        """Records a relay that did not answer, or opens no connections."""
        self._counters.increment("gateway.relay.failed")
        self.health.relay_failed(relay)

    def check_cut_off(self) -> None:
        """Logs and reports whether this instance is cut off, if that changed.

        To be called once a second as well, since outcomes age out.
        """
        with self._lock:
            is_cut_off = self.health.is_cut_off()
            if is_cut_off is self._is_cut_off:
                return
            self._is_cut_off = is_cut_off
        self._log.note("link", keep=True, cut_off=is_cut_off)
        self._counters.gauge("gateway.cut_off", float(is_cut_off))
        self.on_cut_off_change()


def _do_nothing() -> None:
    return
