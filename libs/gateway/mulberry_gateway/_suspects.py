"""Requests that were running when upstreams were lost, on all instances."""

import threading

import mulberry_core as core
import mulberry_membership as membership
from mulberry_gateway import _exchange

#: Losses of an upstream during a run of one content after which it is not
#: sent again. At the loss of many upstreams at once a sound request may meet
#: two, seldom three.
MAX_STRIKES = 3
#: How long a strike counts, seconds. Callers that send such a request again
#: do so within seconds.
_STRIKE_S = 120.0
#: When the caller of a blocked content may come again, seconds.
BLOCKED_RETRY_S = 30.0
#: Ends the id of the record that says that a run of a content was complete.
_CLEARED = "cleared"

_KIND = membership.RecordKind.STRIKE


class Suspects:
    """Counts strikes by content, since callers come again under new ids.

    Answers a request that crashes each upstream that begins to run it: every
    repeat takes away an upstream, and the runs beside it, for seconds. A
    content gets a strike where its run broke off and the upstream takes no
    connections right after; one complete run of it clears all its strikes.
    """

    def __init__(
        self,
        soft_state: membership.SoftState,
        counters: core.Counters,
        log: core.DecisionLog,
    ) -> None:
        self._soft_state = soft_state
        self._counters = counters
        self._log = log
        self._lock = threading.Lock()
        #: Ids of strike records, by content.
        self._strikes: dict[str, set[str]] = {}
        self._cleared: set[str] = set()
        soft_state.subscribe(_KIND, self._on_record)

    def strikes(self, content: str) -> int:
        """Returns how many upstreams were lost while they ran a content."""
        with self._lock:
            if content in self._cleared:
                return 0
            return len(self._strikes.get(content, ()))

    def is_blocked(self, content: str) -> bool:
        """Whether the content must not be sent to another upstream."""
        return self.strikes(content) >= MAX_STRIKES

    def upstream_lost(
        self, exchange: _exchange.Exchange, upstream: membership.Upstream
    ) -> None:
        """Notes that an upstream was lost while it ran a request."""
        content = exchange.content
        self._soft_state.publish(
            _KIND,
            f"{content}/{upstream.name}.{upstream.incarnation}",
            b"",
            ttl_s=_STRIKE_S,
            urgent=True,
        )
        self._counters.increment("gateway.strikes")
        self._log.note(
            "strike",
            keep=True,
            id=exchange.facts.request_id,
            content=content,
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            strikes=self.strikes(content),
        )

    def upstream_survived(
        self, exchange: _exchange.Exchange, attempt: _exchange.Attempt
    ) -> None:
        """Notes that a run broke off but its upstream is still there."""
        self._counters.increment("gateway.broken_off_without_strike")
        self._log.note(
            "no_strike",
            id=exchange.facts.request_id,
            content=exchange.content,
            upstream=attempt.upstream,
            outcome=attempt.outcome,
        )

    def completed(self, content: str) -> None:
        """Notes a complete run; it clears the content if it had strikes."""
        if self.strikes(content):
            self._log.note("strikes_cleared", keep=True, content=content)
            self._soft_state.publish(
                _KIND,
                f"{content}/{_CLEARED}",
                b"",
                ttl_s=_STRIKE_S,
                urgent=True,
            )

    def _on_record(self, record: membership.Record) -> None:
        content, _, suffix = record.id.partition("/")
        with self._lock:
            if suffix == _CLEARED:
                change = (
                    self._cleared.discard
                    if record.removed
                    else self._cleared.add
                )
                change(content)
                return
            ids = self._strikes.setdefault(content, set())
            if record.removed:
                ids.discard(record.id)
            else:
                ids.add(record.id)
            left = len(ids)
            if not ids:
                del self._strikes[content]
            blocked = sum(
                len(ids) >= MAX_STRIKES for ids in self._strikes.values()
            )
        self._counters.gauge(
            "gateway.contents_with_strikes", len(self._strikes)
        )
        self._counters.gauge("gateway.contents_blocked", blocked)
        if record.removed:
            self._log.note(
                "strike_dropped",
                keep=True,
                content=content,
                upstream=suffix,
                owner=record.owner,
                left=left,
            )
