"""Forwards callers' requests to upstreams and their answers back."""

import dataclasses
from collections.abc import Callable

from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_routing as routing
import mulberry_state as state
from mulberry_gateway import (
    _connection,
    _dialect,
    _exchange,
    _listener,
    _messages,
    _model_choice,
    _patience,
    _placing,
    _releases,
    _request_reader,
    _rollout_watch,
    _routing_book,
    _stream_relay,
    _upstream_call,
)

#: Part of the time before the deadline kept for the way back, seconds.
ANSWER_MARGIN_S = 0.02
#: Wait told to a caller that should ask another instance, seconds.
_ELSEWHERE_AT_ONCE_S = 0.02
#: Shortest time that is worth an attempt, seconds.
LEAST_TIME_S = 0.03


@dataclasses.dataclass(frozen=True)
class GatewayParts:
    """What the forwarder works with."""

    zone: str
    clock: core.Clock
    counters: core.Counters
    log: core.DecisionLog
    state: state.StateClient
    routing: _routing_book.RoutingBook
    placer: _placing.Placer
    models: _model_choice.ModelChoice
    dialect: _dialect.Dialect
    retries: decisions.RetryBudget
    drain: decisions.Drain
    #: Age of the view up to which a missing route or key is final, seconds.
    max_view_age_s: float
    watch: _rollout_watch.RolloutWatch
    releases: _releases.Releases


@dataclasses.dataclass(frozen=True)
class Failed:
    """An attempt that gave nothing to forward."""

    refusal: core.Refusal
    #: Whether another upstream may be tried.
    may_retry: bool
    #: Whether the budget has granted the next attempt already.
    granted: bool = False
    #: The upstream's own answer, to be forwarded if nothing better comes.
    answer: _messages.Response | core.Missing = core.Missing.UNSET


_DELIVERED = core.Missing.UNSET


class Forwarder(_listener.Handler):
    """Answers callers; each request runs on the task of its connection."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._relay = _stream_relay.StreamRelay(parts.dialect, parts.clock)

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
            return _not_run(core.ErrorKind.NO_RULES, "no routing is known yet")
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
            return _not_run(
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
            return _not_run(kind, reason)
        return _not_run(
            core.ErrorKind.RULES_LEASE_EXPIRED,
            f"{reason}, and has not been confirmed for {age_s:.1f} s",
        )

    def _run(self, exchange: _exchange.Exchange) -> bool:
        """Tries upstreams until one answers; returns whether to keep."""
        self._parts.retries.request_started(_work(exchange))
        try:
            kept = self._try_upstreams(exchange)
        except Exception:
            logging.exception("request %s failed", exchange.facts.request_id)
            kept = self._give_up(
                exchange,
                Failed(
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
        while True:
            failed = self._attempt(exchange)
            if isinstance(failed, _stream_relay.Relayed):
                return failed.keep_alive
            if failed.granted or (
                failed.may_retry and self._may_retry(exchange)
            ):
                continue
            return self._give_up(exchange, failed)

    def _may_retry(self, exchange: _exchange.Exchange) -> bool:
        if len(exchange.attempts) >= exchange.route.max_attempts:
            return False
        if self._left_s(exchange) < LEAST_TIME_S:
            return False
        if exchange.run is not core.RunState.NOT_RUN and (
            not exchange.route.is_idempotent
        ):
            return False
        return self._parts.retries.try_retry(_work(exchange), exchange.run)

    def _attempt(
        self, exchange: _exchange.Exchange
    ) -> _stream_relay.Relayed | Failed:
        parts = self._parts
        if self._left_s(exchange) < LEAST_TIME_S:
            return Failed(_too_late(exchange), may_retry=False)
        chosen = parts.placer.choose(exchange)
        if isinstance(chosen, core.Refusal):
            return Failed(chosen, may_retry=False)
        if not self._may_still_send(exchange):
            return Failed(
                _not_run(
                    core.ErrorKind.RULES_LEASE_EXPIRED,
                    "the lease ended before the request was sent",
                ),
                may_retry=False,
            )
        upstream = chosen.upstream
        exchange.model = model = parts.models.choose(exchange)
        attempt = _exchange.Attempt(
            upstream.name,
            parts.clock.now(),
            model=model,
            load=chosen.load,
            candidates=chosen.candidates,
            load_share=chosen.load_share,
        )
        exchange.attempts.append(attempt)
        call = _upstream_call.UpstreamCall(upstream.address, exchange.caller)
        parts.placer.load.started(upstream.name)
        try:
            return self._call(exchange, attempt, call, upstream.release)
        finally:
            call.close()
            parts.placer.load.ended(upstream.name)

    def _may_still_send(self, exchange: _exchange.Exchange) -> bool:
        return not exchange.team or self._parts.state.lease_remaining_s() > 0.0

    def _call(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        call: _upstream_call.UpstreamCall,
        release: str,
    ) -> _stream_relay.Relayed | Failed:
        parts = self._parts
        request = exchange.request
        headers = parts.dialect.write_call(
            request,
            _dialect.SendFacts(
                upstream=attempt.upstream,
                left_s=self._left_s(exchange),
                team=exchange.team,
                model=attempt.model,
                last_event_id=exchange.last_event_id,
            ),
        )
        data = _messages.write_request(
            request.method,
            request.target,
            headers,
            request.body if request.has_body else None,
        )
        fault = call.send(data, request.method == "HEAD")
        if isinstance(fault, _upstream_call.Fault):
            return self._fault(exchange, attempt, fault, release)
        patience = _patience.Patience(
            call, attempt.upstream, parts.placer.health, parts.clock
        )
        head = patience.read(
            call.read_head,
            exchange.deadline_s,
            self._silence_policy(exchange, exchange.route.target_latency_s),
        )
        if isinstance(head, _upstream_call.Fault):
            return self._fault(exchange, attempt, head, release)
        facts = parts.dialect.read_answer(head, exchange.facts.request_id)
        if not isinstance(facts.load, core.Missing):
            parts.placer.load.reported(attempt.upstream, facts.load)
        if facts.not_run or facts.other_upstream:
            return self._turned_away(attempt, facts)
        exchange.note_run(core.RunState.RAN)
        if not facts.is_genuine:
            return self._fault(
                exchange, attempt, _upstream_call.Fault.GARBLED, release
            )
        if head.status < 300 and self._escalates(exchange, attempt, facts):
            return Failed(
                core.Refusal(
                    core.ErrorKind.UPSTREAM_FAILED,
                    core.RunState.RAN,
                    f"{attempt.model} was unsure of its answer",
                ),
                may_retry=True,
                granted=True,
            )
        return self._take_answer(
            exchange, attempt, call, head, release, patience
        )

    def _silence_policy(
        self, exchange: _exchange.Exchange, expected_s: float
    ) -> decisions.SilencePolicy | core.Missing:
        """Returns when to leave a silent upstream; unset for never."""
        route = exchange.route
        if not route.is_idempotent or (
            len(exchange.attempts) >= route.max_attempts
        ):
            return core.Missing.UNSET
        return decisions.SilencePolicy(expected_s)

    def _escalates(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        facts: _dialect.AnswerFacts,
    ) -> bool:
        """Whether the answer is dropped to ask a larger model."""
        if not isinstance(facts.confidence, core.Missing):
            attempt.confidence = facts.confidence
        model = self._parts.models.escalates_to(
            exchange,
            attempt.model,
            facts.confidence,
            attempt.load_share,
        )
        if isinstance(model, core.Missing) or not self._may_retry(exchange):
            return False
        exchange.model = model
        attempt.outcome = "unsure"
        return True

    def _take_answer(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        call: _upstream_call.UpstreamCall,
        head: _messages.ResponseHead,
        release: str,
        patience: _patience.Patience,
    ) -> _stream_relay.Relayed | Failed:
        parts = self._parts
        took_s = parts.clock.now() - attempt.began_s
        if (
            exchange.route.kind is routing.RouteKind.STREAMING
            and head.status < 300
        ):
            parts.watch.observe(exchange, release, True, took_s)
            parts.placer.health.succeeded(attempt.upstream)
            return self._relay_stream(
                exchange, attempt, call, head, release, patience
            )
        body = patience.read(
            call.read_body, exchange.deadline_s, core.Missing.UNSET
        )
        if isinstance(body, _upstream_call.Fault):
            return self._fault(exchange, attempt, body, release)
        attempt.outcome = str(head.status)
        answer = _messages.Response(
            head.status,
            tuple(parts.dialect.answer_headers(head)),
            body,
            head.reason,
        )
        good = (
            head.status < 500
            and head.status not in _PROMISES
            and not exchange.answered
        )
        parts.watch.observe(exchange, release, good, took_s)
        if good:
            parts.placer.health.succeeded(attempt.upstream)
            return self._send_answer(exchange, answer)
        parts.placer.health.failed(attempt.upstream)
        is_promise = head.status in _PROMISES
        return Failed(
            core.Refusal(
                core.ErrorKind.UPSTREAM_FAILED,
                core.RunState.RAN,
                f"{attempt.upstream} answered {head.status}",
            ),
            may_retry=exchange.route.is_idempotent,
            answer=core.Missing.UNSET if is_promise else answer,
        )

    def _relay_stream(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        call: _upstream_call.UpstreamCall,
        head: _messages.ResponseHead,
        release: str,
        patience: _patience.Patience,
    ) -> _stream_relay.Relayed | Failed:
        policy = self._silence_policy(exchange, exchange.route.max_pause_s)

        def read() -> bytes | _upstream_call.Fault:
            return patience.read(call.read_some, exchange.deadline_s, policy)

        relayed = self._relay.relay(exchange, attempt, read, head)
        if isinstance(relayed, _stream_relay.Relayed):
            return relayed
        failed = self._fault(exchange, attempt, relayed.fault, release)
        resumable = exchange.route.is_resumable and failed.may_retry
        return dataclasses.replace(failed, may_retry=resumable)

    def _send_answer(
        self, exchange: _exchange.Exchange, answer: _messages.Response
    ) -> _stream_relay.Relayed:
        data = _messages.write_response(
            answer,
            exchange.keep_alive,
            head_only=exchange.request.method == "HEAD",
        )
        exchange.answered = True
        exchange.first_byte_s = self._parts.clock.now()
        exchange.status = answer.status
        sent = exchange.caller.send_all(data)
        return _stream_relay.Relayed(sent and exchange.keep_alive)

    def _fault(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        fault: _upstream_call.Fault,
        release: str,
    ) -> Failed:
        parts = self._parts
        attempt.outcome = fault.value
        if fault not in _upstream_call.NOT_SENT:
            exchange.note_run(core.RunState.UNKNOWN)
        _HEALTH_NOTE[fault](parts.placer.health, attempt.upstream)
        if fault not in _NOT_THE_VERSIONS_FAULT:
            parts.watch.observe(
                exchange,
                release,
                False,
                parts.clock.now() - attempt.began_s,
            )
        kind = _KIND_BY_FAULT[fault]
        if fault is _upstream_call.Fault.SILENT:
            return Failed(
                _too_late(exchange),
                may_retry=False,
            )
        return Failed(
            core.Refusal(
                kind, exchange.run, f"{attempt.upstream}: {fault.value}"
            ),
            may_retry=fault is not _upstream_call.Fault.CALLER_GONE,
        )

    def _turned_away(
        self, attempt: _exchange.Attempt, facts: _dialect.AnswerFacts
    ) -> Failed:
        """Handles an upstream that states that it ran nothing."""
        if facts.other_upstream:
            attempt.outcome = "other_upstream"
            self._parts.placer.health.unreachable(attempt.upstream)
        else:
            attempt.outcome = "turned_away"
        return Failed(
            core.Refusal(
                core.ErrorKind.UPSTREAM_REFUSED,
                core.RunState.NOT_RUN,
                f"{attempt.upstream}: {attempt.outcome}",
            ),
            may_retry=True,
        )

    def _give_up(self, exchange: _exchange.Exchange, failed: Failed) -> bool:
        if exchange.answered:
            # Part of the answer is out: only the end of the connection tells
            # the caller that it is not whole.
            exchange.status = exchange.status or 200
            self._note_refusal(exchange, failed.refusal)
            return False
        if not isinstance(failed.answer, core.Missing):
            return self._send_answer(exchange, failed.answer).keep_alive
        refusal = dataclasses.replace(failed.refusal, run=exchange.run)
        if exchange.run is not core.RunState.NOT_RUN:
            refusal = _truthful(refusal)
        response = self._parts.dialect.refuse(
            refusal, exchange.facts.request_id
        )
        exchange.status = response.status
        self._note_refusal(exchange, refusal)
        data = _messages.write_response(response, exchange.keep_alive)
        return exchange.caller.send_all(data) and exchange.keep_alive

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

    def _left_s(self, exchange: _exchange.Exchange) -> float:
        return exchange.deadline_s - self._parts.clock.now()


def _not_run(kind: core.ErrorKind, reason: str) -> core.Refusal:
    return core.Refusal(kind, core.RunState.NOT_RUN, reason)


def _too_late(exchange: _exchange.Exchange) -> core.Refusal:
    kind = (
        core.ErrorKind.DEADLINE_UNREACHABLE
        if exchange.run is core.RunState.NOT_RUN
        else core.ErrorKind.DEADLINE_EXCEEDED
    )
    return core.Refusal(
        kind, exchange.run, "the deadline passed before the answer was there"
    )


def _truthful(refusal: core.Refusal) -> core.Refusal:
    """Replaces a kind whose status promises that nothing ran."""
    if refusal.answer.status not in _PROMISES:
        return refusal
    return dataclasses.replace(refusal, kind=core.ErrorKind.UPSTREAM_FAILED)


#: Callers read these as a promise that the request has not run.
_PROMISES = frozenset({408, 421, 429, 503})


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


def _work(exchange: _exchange.Exchange) -> decisions.Work:
    return decisions.Work(
        team=exchange.team,
        kind=exchange.route.name,
        priority=exchange.priority,
        deadline_at_s=exchange.deadline_s,
        is_idempotent=exchange.route.is_idempotent,
        is_call=exchange.route.kind is not routing.RouteKind.STREAMING,
    )


_KIND_BY_FAULT = {
    _upstream_call.Fault.REFUSED: core.ErrorKind.UPSTREAM_REFUSED,
    _upstream_call.Fault.UNREACHABLE: core.ErrorKind.UPSTREAM_REFUSED,
    _upstream_call.Fault.NO_ANSWER: core.ErrorKind.UPSTREAM_FAILED,
    _upstream_call.Fault.TRUNCATED: core.ErrorKind.ANSWER_INCOMPLETE,
    _upstream_call.Fault.GARBLED: core.ErrorKind.ANSWER_INCOMPLETE,
    _upstream_call.Fault.SILENT: core.ErrorKind.DEADLINE_EXCEEDED,
    _upstream_call.Fault.LOST: core.ErrorKind.UPSTREAM_FAILED,
    _upstream_call.Fault.CALLER_GONE: core.ErrorKind.CALLER_GONE,
}


#: Say nothing of the version that an upstream runs.
_NOT_THE_VERSIONS_FAULT = _upstream_call.NOT_SENT | {
    _upstream_call.Fault.CALLER_GONE
}


def _ignore(health: decisions.UpstreamHealth, name: str) -> None:
    del health, name


_HEALTH_NOTE: dict[
    _upstream_call.Fault, Callable[[decisions.UpstreamHealth, str], None]
] = {
    _upstream_call.Fault.REFUSED: decisions.UpstreamHealth.unreachable,
    _upstream_call.Fault.UNREACHABLE: decisions.UpstreamHealth.unreachable,
    _upstream_call.Fault.NO_ANSWER: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.TRUNCATED: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.GARBLED: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.SILENT: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.LOST: decisions.UpstreamHealth.unreachable,
    _upstream_call.Fault.CALLER_GONE: _ignore,
}
