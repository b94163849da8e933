"""Keeps requests within the rates that upstreams name, or tolerate cold."""

import enum
import math
from concurrent import futures

from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import _cold_upstreams, _permit_owner

#: Time limit for asking the owner of a rate, seconds. It answers without
#: waiting for anything.
_RESERVE_TIMEOUT_S = 0.25
#: Time that must be left to ask the owner of a rate, seconds. A call takes about
#: 1 ms, and two time-outs in a row drop the channel to the owner.
_MIN_RESERVE_S = 0.02
#: Pause in requests to an upstream whose owner cannot be asked, seconds.
_FAILURE_WAIT_S = 0.5
#: Age up to which the permit of a cold upstream is used, seconds. It covers the
#: call and a connection over the direct path. The limit leaves room for twice
#: as much (`IN_FLIGHT_S`).
_PERMIT_VALID_S = 0.3


class Admission(enum.Enum):
    """Whether a request may be sent."""

    #: The upstream takes requests without permits.
    FREE = "free"
    PERMIT = "permit"
    DENIED = "denied"


class RateGate:
    """Takes a permit before each request to an upstream that needs one.

    These are upstreams that name a rate, and cold ones.
    """

    def __init__(
        self,
        rates: decisions.NamedRates,
        owner: _permit_owner.PermitOwner,
        cold: _cold_upstreams.ColdUpstreams,
        clock: core.Clock,
        counters: core.Counters,
        log: core.DecisionLog,
    ) -> None:
        self._rates = rates
        self._owner = owner
        self._cold = cold
        self._clock = clock
        self._counters = counters
        self._log = log
        self._notices = futures.ThreadPoolExecutor(1, "rate-notices")

    def admit(
        self, upstream: membership.Upstream, timeout_s: float
    ) -> Admission:
        """Whether a request may be sent now; takes a permit if one is needed.

        Otherwise the upstream counts as blocked until a permit may be
        available. If too little time is left to ask for one, the request is
        denied, which says nothing about the upstream.
        """
        name, incarnation = upstream.name, upstream.incarnation
        cold = self._cold.limit(upstream)
        report = self._rates.report(name, incarnation)
        if isinstance(report, core.Missing):
            report = decisions.NO_REPORT
        if isinstance(cold, core.Missing) and isinstance(
            report.rate_per_s, core.Missing
        ):
            return Admission.FREE
        if timeout_s < _MIN_RESERVE_S:
            return Admission.DENIED
        reply = self._owner.reserve(
            upstream, report, True, min(timeout_s, _RESERVE_TIMEOUT_S), cold
        )
        if isinstance(reply, core.Refusal):
            self._counters.increment("gateway.permits.failed")
            self._log.note("permit", keep=True, name=name, failed=reply.reason)
            self._rates.block(name, incarnation, _FAILURE_WAIT_S)
            return Admission.DENIED
        self._learn(upstream, reply.report)
        if reply.is_granted:
            self._counters.increment("gateway.permits.granted")
            return Admission.PERMIT
        self._counters.increment("gateway.permits.denied")
        self._rates.block(
            name, incarnation, min(reply.wait_s, _permit_owner.MAX_WAIT_S)
        )
        return Admission.DENIED

    def blocked_s(self, upstream: membership.Upstream) -> float:
        """Returns for how long the upstream gives no permit, seconds."""
        return self._rates.blocked_s(upstream.name, upstream.incarnation)

    def renew(
        self,
        upstream: membership.Upstream,
        permit_s: float,
        timeout_s: float,
    ) -> float | core.Missing:
        """Takes another permit for a request if its own is too old by now.

        Args:
            upstream: The upstream, possibly cold since the request was
                admitted.
            permit_s: `Clock.now` when its permit was asked for, seconds; -inf
                if it needed none.
            timeout_s: Time limit for another permit, seconds.

        Returns:
            `Clock.now` when the permit to use was asked for, seconds; -inf if
            none is needed. Unset if the request must not be sent now.
        """
        asked_s = self._clock.now()
        if (
            isinstance(self._cold.limit(upstream), core.Missing)
            or asked_s - permit_s <= _PERMIT_VALID_S
        ):
            return permit_s
        admission = self.admit(upstream, timeout_s)
        if admission is Admission.DENIED:
            return core.Missing.UNSET
        return asked_s if admission is Admission.PERMIT else -math.inf

    def connection_broke(self, service: str, name: str) -> None:
        """Records a connection to an upstream that did not open or broke."""
        self._cold.connection_broke(service, name)

    def answered(
        self,
        upstream: membership.Upstream,
        rate_per_s: float | core.Missing,
        cold_s: float,
    ) -> None:
        """Records what an answer says of rates.

        Args:
            upstream: The upstream that answered.
            rate_per_s: Requests a second; unlimited if the answer names no
                rate, unset if it cannot be read.
            cold_s: For how long the upstream is still cold, seconds.
        """
        self._cold.answered(upstream, cold_s)
        if rate_per_s is core.Missing.UNSET:
            return
        report = decisions.RateReport(rate_per_s, 0.0)
        if (
            self._learn(upstream, report)
            and rate_per_s is core.Missing.UNLIMITED
        ):
            # Others would learn of the end only from answers of their own, for
            # which they need permits.
            self._notices.submit(self._pass_on, upstream, report)

    def _learn(
        self, upstream: membership.Upstream, report: decisions.RateReport
    ) -> bool:
        """Records a report; returns whether the rate has changed."""
        has_changed = self._rates.learn(
            upstream.name, upstream.incarnation, report
        )
        if has_changed:
            is_unlimited = isinstance(report.rate_per_s, core.Missing)
            self._log.note(
                "upstream",
                keep=True,
                name=upstream.name,
                said="no_rate" if is_unlimited else "rate",
                rate_per_s=-1 if is_unlimited else report.rate_per_s,
                age_s=round(report.age_s, 3),
            )
        return has_changed

    def _pass_on(
        self, upstream: membership.Upstream, report: decisions.RateReport
    ) -> None:
        try:
            reply = self._owner.reserve(
                upstream, report, False, _RESERVE_TIMEOUT_S
            )
        except Exception:
            logging.exception("passing on the rate of %s failed", upstream.name)
            return
        if isinstance(reply, core.Refusal):
            logging.info(
                "rate of %s not passed on: %s", upstream.name, reply.reason
            )
