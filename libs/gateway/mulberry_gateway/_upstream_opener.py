"""Selects the upstream of an attempt and opens the connection to it."""

import dataclasses
import math
import time

import mulberry_core as core
from mulberry_gateway import (
    _attempt_failure,
    _blocks,
    _components,
    _exchange,
    _faults,
    _rate_gate,
    _retry_policy,
    _stop_check,
    _upstream_call,
    _upstream_selection,
)

#: Permits that are asked for before a request counts as refused by the rates
#: that upstreams name.
_MAX_PERMIT_REQUESTS = 4
#: Interval between selections while no upstream is free, seconds.
_SELECTION_PERIOD_S = 0.1


class UpstreamOpener:
    """Opens the connection of an attempt, if the request may be sent."""

    def __init__(
        self,
        components: _components.GatewayComponents,
        retries: _retry_policy.RetryPolicy,
    ) -> None:
        self._components = components
        self._retries = retries

    def refusal(
        self, exchange: _exchange.Exchange
    ) -> core.Refusal | core.Missing:
        """Returns why the request must not be sent now; unset if it may."""
        if self._retries.is_too_late(exchange):
            return _attempt_failure.deadline_refusal(exchange)
        block = self._components.quarantine.find_block(exchange)
        if isinstance(block, _blocks.Block):
            return _attempt_failure.quarantine_refusal(exchange, block)
        if self._components.state.lease_remaining_s() <= 0.0:
            return _faults.not_run(
                core.ErrorKind.RULES_LEASE_EXPIRED,
                "the rules lease expired before the request was sent",
            )
        if not _stop_check.may_send(self._components, exchange):
            return _stop_check.leaving_refusal()
        return core.Missing.UNSET

    def open(
        self, exchange: _exchange.Exchange
    ) -> _attempt_failure.ConnectedUpstream | _attempt_failure.AttemptFailure:
        """Connects to one upstream after another until a connection opens."""
        failed = 0
        while True:
            opened = self.open_once(exchange)
            if isinstance(opened, _attempt_failure.ConnectedUpstream):
                return opened
            is_none_free = opened.refusal.kind is core.ErrorKind.NO_UPSTREAM
            failed += opened.may_retry
            if not (
                (opened.may_retry or (is_none_free and exchange.answered))
                and self._retries.may_connect_again(exchange, failed)
            ):
                return dataclasses.replace(opened, may_retry=False)
            if is_none_free:
                time.sleep(_SELECTION_PERIOD_S)

    def open_once(
        self, exchange: _exchange.Exchange
    ) -> _attempt_failure.ConnectedUpstream | _attempt_failure.AttemptFailure:
        """Connects to one upstream.

        Returns:
            The connection, or a failure after which another upstream may be
            tried if only the connection failed.
        """
        refusal = self.refusal(exchange)
        if isinstance(refusal, core.Refusal):
            return _attempt_failure.AttemptFailure(refusal, may_retry=False)
        components = self._components
        selected = self._select(exchange)
        if isinstance(selected, core.Refusal):
            return _attempt_failure.AttemptFailure(selected, may_retry=False)
        selection, permit_s = selected
        began_s = components.clock.now()
        upstream = selection.upstream
        call = _upstream_call.UpstreamCall(
            components.connector,
            upstream,
            exchange.caller,
            components.answer_limits,
        )
        load = components.upstream_selector.load
        load.started(upstream.name)
        try:
            fault = call.connect(
                self._retries.remaining_s(exchange),
                components.regions.relay_filter(exchange.allowed_regions),
            )
        finally:
            load.ended(upstream.name)
        if isinstance(fault, _upstream_call.Fault):
            components.upstream_selector.health.unreachable(upstream.name)
            components.rate_gate.connection_broke(
                exchange.service, upstream.name
            )
            return self._unsent(
                exchange,
                selection,
                began_s,
                fault.value,
                _faults.KIND_BY_FAULT[fault],
            )
        connected = _attempt_failure.ConnectedUpstream(
            selection, call, began_s, permit_s
        )
        return self.check_connected(exchange, connected)

    def _select(
        self, exchange: _exchange.Exchange
    ) -> tuple[_upstream_selection.Selection, float] | core.Refusal:
        """Selects an upstream and takes a permit if it needs one.

        Returns:
            The selection, and `Clock.now` when the permit was asked for,
            seconds; -inf if it needs none.
        """
        components = self._components
        blocked_s = []
        for _ in range(_MAX_PERMIT_REQUESTS):
            selection = components.upstream_selector.choose(
                exchange, components.model_selector.choose(exchange)
            )
            if isinstance(selection, core.Refusal):
                return selection
            asked_s = components.clock.now()
            admission = components.rate_gate.admit(
                selection.upstream, self._retries.remaining_s(exchange)
            )
            if admission is _rate_gate.Admission.FREE:
                return selection, -math.inf
            if admission is _rate_gate.Admission.PERMIT:
                return selection, asked_s
            components.upstream_selector.released(selection)
            blocked_s.append(components.rate_gate.blocked_s(selection.upstream))
        return core.Refusal(
            core.ErrorKind.NO_UPSTREAM,
            exchange.run,
            f"{_MAX_PERMIT_REQUESTS} upstreams of {exchange.service} gave no "
            "permit",
            retry_after_s=min(blocked_s),
        )

    def confirm(
        self,
        exchange: _exchange.Exchange,
        connected: _attempt_failure.ConnectedUpstream,
    ) -> _attempt_failure.ConnectedUpstream | _attempt_failure.AttemptFailure:
        """Returns a connection that was opened some time ago.

        If its upstream must get no request by now, opens another one.
        """
        checked = self.check_connected(exchange, connected)
        if isinstance(checked, _attempt_failure.ConnectedUpstream):
            return checked
        return self.open(exchange)

    def check_connected(
        self,
        exchange: _exchange.Exchange,
        connected: _attempt_failure.ConnectedUpstream,
    ) -> _attempt_failure.ConnectedUpstream | _attempt_failure.AttemptFailure:
        """Closes the connection if its upstream must get no request by now.

        Returns:
            The connection with the permit that is valid now, or a failure.
        """
        selection = connected.selection
        components = self._components
        if components.upstream_selector.may_send(selection.upstream):
            permit_s = components.rate_gate.renew(
                selection.upstream,
                connected.permit_s,
                self._retries.remaining_s(exchange),
            )
            if permit_s == connected.permit_s:
                return connected
            if not isinstance(permit_s, core.Missing):
                return dataclasses.replace(connected, permit_s=permit_s)
        connected.call.close()
        return self._unsent(
            exchange,
            selection,
            connected.began_s,
            _exchange.DEPARTED,
            core.ErrorKind.UPSTREAM_REFUSED,
        )

    def _unsent(
        self,
        exchange: _exchange.Exchange,
        selection: _upstream_selection.Selection,
        began_s: float,
        outcome: str,
        kind: core.ErrorKind,
    ) -> _attempt_failure.AttemptFailure:
        """Notes an attempt that ended before the first byte was sent."""
        upstream = selection.upstream
        self._components.upstream_selector.released(selection)
        exchange.attempts.append(
            _exchange.Attempt(
                upstream.name,
                began_s,
                release=upstream.release,
                model=exchange.model,
                outcome=outcome,
                may_have_arrived=False,
                load=selection.load,
                candidates=selection.candidates,
                load_share=selection.load_share,
            )
        )
        return _attempt_failure.AttemptFailure(
            core.Refusal(kind, exchange.run, f"{upstream.name}: {outcome}"),
            may_retry=True,
        )
