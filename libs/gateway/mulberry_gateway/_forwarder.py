"""Answers callers: checks a request, has it tried, and ends it truthfully."""

import dataclasses

from absl import logging

import mulberry_core as core
import mulberry_routing as routing
from mulberry_gateway import (
    _attempts,
    _connection,
    _dialect,
    _exchange,
    _faults,
    _listener,
    _messages,
    _parts,
    _request_reader,
    _stream_relay,
)

#: Wait told to a caller that should ask another instance, seconds.
_ELSEWHERE_AT_ONCE_S = 0.02
#: Part of the time before the deadline kept for the way back, seconds.
ANSWER_MARGIN_S = 0.02


class Forwarder(_listener.Handler):
    """Answers callers; each request runs on the task of its connection."""

    def __init__(self, parts: _parts.GatewayParts) -> None:
        self._parts = parts
        self._attempts = _attempts.Attempts(parts)

    def limits(self) -> routing.Limits:
        """Returns the limits of the routing in force."""
        table = self._parts.routing.table
        if isinstance(table, core.Missing):
            return routing.Limits()
        return table.limits

    def reject(
        self, fault: _request_reader.Malformed, caller: _connection.Connection
    ) -> None:
        """Answers bytes that are no proper request."""
        refusal = core.Refusal(fault.kind, core.RunState.NOT_RUN, fault.reason)
        self._parts.log.note(
            "rejected", keep=True, kind=fault.kind.value, reason=fault.reason
        )
        self._parts.counters.increment(f"gateway.refused.{fault.kind.value}")
        response = self._parts.dialect.refuse(refusal, "")
        caller.send_all(_messages.write_response(response, keep_alive=False))

    def handle(
        self,
        request: _messages.Request,
        caller: _connection.Connection,
        keep_alive: bool,
    ) -> bool:
        """Answers one request; returns whether the connection can go on."""
        facts = self._parts.dialect.read_call(request)
        if isinstance(facts, core.Refusal):
            return self._refuse_early(request, caller, keep_alive, "", facts)
        exchange = self._begin(request, facts, caller, keep_alive)
        if isinstance(exchange, core.Refusal):
            return self._refuse_early(
                request, caller, keep_alive, facts.request_id, exchange
            )
        return self._run(exchange)

    def _begin(
        self,
        request: _messages.Request,
        facts: _dialect.CallFacts,
        caller: _connection.Connection,
        keep_alive: bool,
    ) -> _exchange.Exchange | core.Refusal:
        """Checks route and key."""
        table = self._parts.routing.table
        if isinstance(table, core.Missing):
            return _faults.not_run(
                core.ErrorKind.NO_RULES, "no routing is known yet"
            )
        route = table.match(request.header("host"), request.path)
        if isinstance(route, core.Missing):
            return self._unless_outdated(
                core.ErrorKind.NOT_FOUND,
                f"routing {table.version} has no route for this host and path",
            )
        patience_s = min(facts.patience_s, route.timeout_s)
        is_stream = route.kind is routing.RouteKind.STREAMING
        if not self._parts.drain.may_take(is_stream, patience_s):
            return core.Refusal(
                core.ErrorKind.ENTRY_LEAVING,
                core.RunState.NOT_RUN,
                "this instance stops before the answer would be complete",
                retry_after_s=_ELSEWHERE_AT_ONCE_S,
            )
        team = self._check_key(table, route, facts)
        if isinstance(team, core.Refusal):
            return team
        team_name, priority = "", route.priority
        if isinstance(team, routing.Team):
            team_name = team.name
            if not isinstance(team.priority, core.Missing):
                priority = team.priority
        return _exchange.Exchange(
            request=request,
            facts=facts,
            route=route,
            table=table,
            service=_service_for(route, facts),
            team=team_name,
            priority=priority,
            caller=caller,
            keep_alive=keep_alive,
            deadline_s=request.received_s + patience_s - ANSWER_MARGIN_S,
        )

    def _check_key(
        self,
        table: routing.RoutingTable,
        route: routing.Route,
        facts: _dialect.CallFacts,
    ) -> routing.Team | core.Missing | core.Refusal:
        if route.is_public or not table.teams_by_name:
            return core.Missing.UNSET
        if self._parts.state.lease_remaining_s() <= 0.0:
            return _faults.not_run(
                core.ErrorKind.RULES_LEASE_EXPIRED,
                "this instance has not heard from the voters for a lease term",
            )
        team = table.team_of(facts.key)
        if isinstance(team, core.Missing):
            return self._unless_outdated(
                core.ErrorKind.UNAUTHENTICATED,
                f"routing {table.version} has no team with this key",
            )
        return team

    def _unless_outdated(
        self, kind: core.ErrorKind, reason: str
    ) -> core.Refusal:
        """Returns a final refusal only where the routing is surely newest.

        A route or key that this instance does not know yet may have been
        confirmed to the operator; the caller should ask another instance.
        """
        age_s = self._parts.state.view_age_s()
        if age_s <= self._parts.max_view_age_s:
            return _faults.not_run(kind, reason)
        return _faults.not_run(
            core.ErrorKind.RULES_LEASE_EXPIRED,
            f"{reason}, and has not been confirmed for {age_s:.1f} s",
        )

    def _run(self, exchange: _exchange.Exchange) -> bool:
        """Tries upstreams until one answers; returns whether to keep."""
        self._parts.retries.request_started(_attempts.work(exchange))
        try:
            kept = self._try_upstreams(exchange)
        except Exception:
            logging.exception("request %s failed", exchange.facts.request_id)
            kept = self._give_up(
                exchange,
                _attempts.Failed(
                    core.Refusal(
                        core.ErrorKind.INTERNAL,
                        exchange.run,
                        "a fault of this instance",
                    ),
                    may_retry=False,
                ),
            )
        self._parts.releases.request_ended(exchange.service, exchange.session)
        self._finish(exchange)
        return kept

    def _try_upstreams(self, exchange: _exchange.Exchange) -> bool:
        outcome = self._attempts.run(exchange)
        if isinstance(outcome, _stream_relay.Relayed):
            return outcome.keep_alive
        return self._give_up(exchange, outcome)

    def _give_up(
        self, exchange: _exchange.Exchange, failed: _attempts.Failed
    ) -> bool:
        if exchange.answered:
            # Part of the answer is out: only the end of the connection tells
            # the caller that it is not whole.
            exchange.status = exchange.status or 200
            self._note_refusal(exchange, failed.refusal)
            return False
        if not isinstance(failed.answer, core.Missing):
            return self._attempts.send_answer(
                exchange, failed.answer
            ).keep_alive
        refusal = dataclasses.replace(failed.refusal, run=exchange.run)
        if exchange.run is not core.RunState.NOT_RUN:
            refusal = _truthful(refusal)
        refusal = self._with_return_time(refusal)
        response = self._parts.dialect.refuse(
            refusal, exchange.facts.request_id
        )
        exchange.status = response.status
        self._note_refusal(exchange, refusal)
        data = _messages.write_response(response, exchange.keep_alive)
        return exchange.caller.send_all(data) and exchange.keep_alive

    def _with_return_time(self, refusal: core.Refusal) -> core.Refusal:
        """Returns the refusal with the wait that this caller is told."""
        after_s = refusal.effective_retry_after_s
        if isinstance(after_s, core.Missing):
            return refusal
        return dataclasses.replace(
            refusal, retry_after_s=self._parts.returns.spread(after_s)
        )

    def _note_refusal(
        self, exchange: _exchange.Exchange, refusal: core.Refusal
    ) -> None:
        self._parts.counters.increment(f"gateway.refused.{refusal.kind.value}")
        self._parts.log.note(
            "refused",
            keep=True,
            kind=refusal.kind.value,
            reason=refusal.reason,
            lease_s=round(self._parts.state.lease_remaining_s(), 2),
            **exchange.summary(self._parts.clock.now()),
        )

    def _refuse_early(
        self,
        request: _messages.Request,
        caller: _connection.Connection,
        keep_alive: bool,
        request_id: str,
        refusal: core.Refusal,
    ) -> bool:
        parts = self._parts
        refusal = self._with_return_time(refusal)
        parts.counters.increment(f"gateway.refused.{refusal.kind.value}")
        parts.log.note(
            "refused",
            keep=True,
            id=request_id,
            kind=refusal.kind.value,
            run=refusal.run.value,
            reason=refusal.reason,
            host=request.header("host"),
            target=request.target[:80],
            lease_s=round(parts.state.lease_remaining_s(), 2),
            revision=parts.state.view().revision,
        )
        response = parts.dialect.refuse(refusal, request_id)
        return caller.send_all(_messages.write_response(response, keep_alive))

    def _finish(self, exchange: _exchange.Exchange) -> None:
        parts = self._parts
        now_s = parts.clock.now()
        took_ms = (now_s - exchange.request.received_s) * 1000
        kind = exchange.route.kind.value
        parts.counters.timing(f"gateway.whole.{kind}", took_ms)
        if exchange.first_byte_s:
            first_s = exchange.first_byte_s - exchange.request.received_s
            parts.counters.timing(f"gateway.first.{kind}", first_s * 1000)
        parts.log.note("request", **exchange.summary(now_s))


def _truthful(refusal: core.Refusal) -> core.Refusal:
    """Replaces a kind whose status promises that nothing ran."""
    if refusal.answer.status not in _faults.PROMISES:
        return refusal
    return dataclasses.replace(refusal, kind=core.ErrorKind.UPSTREAM_FAILED)


def _service_for(route: routing.Route, facts: _dialect.CallFacts) -> str:
    """Splits sessions over the services of a route by weight."""
    weights = {s: w for s, w in route.weight_by_service.items() if w > 0}
    if len(weights) == 1:
        return next(iter(weights))
    key = facts.session or facts.request_id
    point = core.bucket(key, route.name, sum(weights.values()))
    for service, weight in sorted(weights.items()):
        if point < weight:
            return service
        point -= weight
    return next(iter(weights))
