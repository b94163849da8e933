"""Handles callers' requests: checks, forwards and answers them."""

import dataclasses

from absl import logging

import mulberry_core as core
import mulberry_routing as routing
from mulberry_gateway import (
    _attempt_failure,
    _attempts,
    _components,
    _connection,
    _dialect,
    _exchange,
    _faults,
    _listener,
    _messages,
    _request_reader,
    _stop_check,
    _stream_relay,
)

#: Time before the deadline reserved for sending the answer, seconds.
ANSWER_MARGIN_S = 0.02


@dataclasses.dataclass(frozen=True)
class _Validity:
    """How far the routing table may be trusted that is read after this."""

    #: Remaining time of the rules lease, seconds.
    lease_s: float
    #: Maximum age of the table, seconds.
    age_s: float


class Forwarder(_listener.Handler):
    """Forwards requests; each one runs on the task of its connection."""

    def __init__(self, components: _components.GatewayComponents) -> None:
        self._components = components
        self._attempts = _attempts.AttemptRunner(components)

    def limits(self) -> routing.Limits:
        """Returns the limits of the current routing table."""
        table = self._components.routing.table
        if isinstance(table, core.Missing):
            return routing.Limits()
        return table.limits

    def reject(
        self,
        fault: _request_reader.InvalidRequest,
        caller: _connection.Connection,
    ) -> None:
        """Answers an invalid request with an error response."""
        refusal = core.Refusal(fault.kind, core.RunState.NOT_RUN, fault.reason)
        self._components.log.note(
            "rejected", keep=True, kind=fault.kind.value, reason=fault.reason
        )
        self._components.counters.increment(
            f"gateway.refused.{fault.kind.value}"
        )
        response = self._components.dialect.error_response(refusal, "")
        caller.send_all(_messages.write_response(response, keep_alive=False))

    def handle(
        self,
        request: _messages.Request,
        caller: _connection.Connection,
        keep_alive: bool,
    ) -> bool:
        """Answers one request; returns whether to keep the connection."""
        metadata = self._components.dialect.parse_request(request)
        if isinstance(metadata, core.Refusal):
            return self._refuse_early(request, caller, keep_alive, "", metadata)
        exchange = self._create_exchange(request, metadata, caller, keep_alive)
        if isinstance(exchange, core.Refusal):
            return self._refuse_early(
                request, caller, keep_alive, metadata.request_id, exchange
            )
        return self._run(exchange)

    def _create_exchange(
        self,
        request: _messages.Request,
        metadata: _dialect.RequestMetadata,
        caller: _connection.Connection,
        keep_alive: bool,
    ) -> _exchange.Exchange | core.Refusal:
        """Matches the route and authenticates the caller."""
        # Read before the table, for which it vouches. In the opposite order, a
        # renewal in between would vouch for a table that it has replaced.
        validity = _Validity(
            self._components.state.lease_remaining_s(),
            self._components.state.view_age_s(),
        )
        table = self._components.routing.table
        if isinstance(table, core.Missing):
            return _faults.not_run(
                core.ErrorKind.NO_RULES, "no routing is known yet"
            )
        if validity.lease_s <= 0.0:
            return _faults.not_run(
                core.ErrorKind.RULES_LEASE_EXPIRED,
                "this instance has not renewed its rules lease within its term",
            )
        route = table.match(request.header("host"), request.path)
        if isinstance(route, core.Missing):
            return self._refuse_unless_outdated(
                core.ErrorKind.NOT_FOUND,
                f"routing {table.version} has no route for this host and path",
                validity,
            )
        answer_timeout_s = min(metadata.caller_timeout_s, route.timeout_s)
        deadline_s = request.received_s + answer_timeout_s - ANSWER_MARGIN_S
        if not _stop_check.may_accept(self._components, route, deadline_s):
            return _stop_check.leaving_refusal()
        team = self._authenticate(table, route, metadata, validity)
        if isinstance(team, core.Refusal):
            return team
        team_name, priority = "", route.priority
        team_regions: frozenset[str] = frozenset()
        if isinstance(team, routing.Team):
            team_name, team_regions = team.name, team.regions
            if not isinstance(team.priority, core.Missing):
                priority = team.priority
        return _exchange.Exchange(
            request=request,
            metadata=metadata,
            route=route,
            table=table,
            service=_select_service(route, metadata),
            team=team_name,
            team_regions=team_regions,
            priority=priority,
            caller=caller,
            keep_alive=keep_alive,
            deadline_s=deadline_s,
        )

    def _authenticate(
        self,
        table: routing.RoutingTable,
        route: routing.Route,
        metadata: _dialect.RequestMetadata,
        validity: "_Validity",
    ) -> routing.Team | core.Missing | core.Refusal:
        if route.is_public or not table.requires_key:
            return core.Missing.UNSET
        team = table.team_of(metadata.key)
        if isinstance(team, core.Missing):
            return self._refuse_unless_outdated(
                core.ErrorKind.UNAUTHENTICATED,
                f"routing {table.version} has no team with this key",
                validity,
            )
        return team

    def _refuse_unless_outdated(
        self, kind: core.ErrorKind, reason: str, validity: "_Validity"
    ) -> core.Refusal:
        """Returns a final refusal only if the routing is known to be current.

        Otherwise the operator may already have the confirmation of a route or
        key that this instance does not know yet, and the caller should ask
        another instance.
        """
        if validity.age_s <= self._components.max_view_age_s:
            return _faults.not_run(kind, reason)
        return _faults.not_run(
            core.ErrorKind.RULES_LEASE_EXPIRED,
            f"{reason}, and has not been confirmed for {validity.age_s:.1f} s",
        )

    def _run(self, exchange: _exchange.Exchange) -> bool:
        """Runs a request; returns whether to keep the connection."""
        self._attempts.request_started(exchange)
        try:
            keep_alive = self._try_upstreams(exchange)
        except Exception:
            logging.exception("request %s failed", exchange.metadata.request_id)
            if exchange.may_be_running:
                exchange.update_run_state(core.RunState.UNKNOWN)
            keep_alive = self._send_failure(
                exchange,
                _attempt_failure.AttemptFailure(
                    core.Refusal(
                        core.ErrorKind.INTERNAL,
                        exchange.run,
                        "internal error of this instance",
                    ),
                    may_retry=False,
                ),
            )
        self._components.rollout_filter.request_ended(
            exchange.service, exchange.session
        )
        self._record_completion(exchange)
        return keep_alive

    def _try_upstreams(self, exchange: _exchange.Exchange) -> bool:
        outcome = self._attempts.run(exchange)
        if isinstance(outcome, _stream_relay.Relayed):
            if exchange.status < 300:
                self._components.durations.record(
                    exchange.route.name,
                    self._components.clock.now() - exchange.request.read_s,
                )
            return outcome.keep_alive
        return self._send_failure(exchange, outcome)

    def _send_failure(
        self,
        exchange: _exchange.Exchange,
        failed: _attempt_failure.AttemptFailure,
    ) -> bool:
        if exchange.answered:
            # Part of the answer was sent. Only closing the connection shows
            # the caller that the answer is incomplete.
            exchange.status = exchange.status or 200
            self._log_refusal(exchange, failed.refusal)
            return False
        if not isinstance(failed.answer, core.Missing):
            return self._attempts.send_answer(
                exchange, failed.answer
            ).keep_alive
        refusal = dataclasses.replace(failed.refusal, run=exchange.run)
        if exchange.run is not core.RunState.NOT_RUN:
            refusal = _without_not_run_status(refusal)
        refusal = self._with_retry_after(refusal)
        response = self._components.dialect.error_response(
            refusal, exchange.metadata.request_id
        )
        exchange.status = response.status
        self._log_refusal(exchange, refusal)
        data = _messages.write_response(
            response,
            exchange.keep_alive,
            head_only=exchange.request.method == "HEAD",
        )
        return exchange.caller.send_all(data) and exchange.keep_alive

    def _with_retry_after(self, refusal: core.Refusal) -> core.Refusal:
        """Adds a retry delay, spread over callers, to a refusal."""
        after_s = refusal.effective_retry_after_s
        if isinstance(after_s, core.Missing):
            return refusal
        return dataclasses.replace(
            refusal, retry_after_s=self._components.retry_delays.spread(after_s)
        )

    def _log_refusal(
        self, exchange: _exchange.Exchange, refusal: core.Refusal
    ) -> None:
        self._components.counters.increment(
            f"gateway.refused.{refusal.kind.value}"
        )
        self._components.log.note(
            "refused",
            keep=True,
            kind=refusal.kind.value,
            reason=refusal.reason,
            lease_s=round(self._components.state.lease_remaining_s(), 2),
            **exchange.summary(self._components.clock.now()),
        )

    def _refuse_early(
        self,
        request: _messages.Request,
        caller: _connection.Connection,
        keep_alive: bool,
        request_id: str,
        refusal: core.Refusal,
    ) -> bool:
        components = self._components
        refusal = self._with_retry_after(refusal)
        components.counters.increment(f"gateway.refused.{refusal.kind.value}")
        components.log.note(
            "refused",
            keep=True,
            id=request_id,
            kind=refusal.kind.value,
            run=refusal.run.value,
            reason=refusal.reason,
            host=request.header("host"),
            target=request.target[:80],
            lease_s=round(components.state.lease_remaining_s(), 2),
            revision=components.state.view().revision,
        )
        response = components.dialect.error_response(refusal, request_id)
        data = _messages.write_response(
            response, keep_alive, head_only=request.method == "HEAD"
        )
        return caller.send_all(data)

    def _record_completion(self, exchange: _exchange.Exchange) -> None:
        components = self._components
        now_s = components.clock.now()
        took_ms = (now_s - exchange.request.received_s) * 1000
        kind = exchange.route.kind.value
        components.counters.timing(f"gateway.whole.{kind}", took_ms)
        if exchange.first_byte_s:
            first_s = exchange.first_byte_s - exchange.request.received_s
            components.counters.timing(f"gateway.first.{kind}", first_s * 1000)
        components.log.note("request", **exchange.summary(now_s))


def _without_not_run_status(refusal: core.Refusal) -> core.Refusal:
    """Replaces a kind whose status promises that the request has not run."""
    if refusal.answer.status not in _faults.NOT_RUN_STATUSES:
        return refusal
    return dataclasses.replace(refusal, kind=core.ErrorKind.UPSTREAM_FAILED)


def _select_service(
    route: routing.Route, metadata: _dialect.RequestMetadata
) -> str:
    """Selects a service of the route by weight and session."""
    weights = {s: w for s, w in route.weight_by_service.items() if w > 0}
    if len(weights) == 1:
        return next(iter(weights))
    key = metadata.session or metadata.request_id
    point = core.bucket(key, route.name, sum(weights.values()))
    for service, weight in sorted(weights.items()):
        if point < weight:
            return service
        point -= weight
    return next(iter(weights))
