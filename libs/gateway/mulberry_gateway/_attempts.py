"""One attempt of a request at one upstream."""

import dataclasses

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_routing as routing
from mulberry_gateway import (
    _dialect,
    _exchange,
    _faults,
    _messages,
    _parts,
    _patience,
    _stream_pace,
    _stream_relay,
    _suspects,
    _upstream_call,
)

#: Shortest time that is worth an attempt, seconds.
LEAST_TIME_S = 0.03


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


class Attempts:
    """Sends a request to one upstream after another."""

    def __init__(self, parts: _parts.GatewayParts) -> None:
        self._parts = parts
        self._relay = _stream_relay.StreamRelay(parts.dialect, parts.clock)

    def run(
        self, exchange: _exchange.Exchange
    ) -> _stream_relay.Relayed | Failed:
        """Tries upstreams until one answers or nothing better can come."""
        while True:
            failed = self._attempt(exchange)
            if isinstance(failed, _stream_relay.Relayed):
                return failed
            if not failed.granted and not (
                failed.may_retry and self._may_retry(exchange)
            ):
                return failed

    def send_answer(
        self, exchange: _exchange.Exchange, answer: _messages.Response
    ) -> _stream_relay.Relayed:
        """Forwards a whole answer to the caller."""
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

    def _may_retry(self, exchange: _exchange.Exchange) -> bool:
        if len(exchange.attempts) >= exchange.route.max_attempts:
            return False
        if self._left_s(exchange) < LEAST_TIME_S:
            return False
        if not any(attempt.arrived for attempt in exchange.attempts):
            # No upstream has seen the request, so the next one is the first.
            return True
        return self._parts.retries.try_retry(work(exchange), exchange.run)

    def _attempt(
        self, exchange: _exchange.Exchange
    ) -> _stream_relay.Relayed | Failed:
        parts = self._parts
        if self._left_s(exchange) < LEAST_TIME_S:
            return Failed(too_late(exchange), may_retry=False)
        blocked_s = parts.suspects.blocked_s(exchange.content)
        if blocked_s > 0.0:
            return Failed(_blocked(exchange, blocked_s), may_retry=False)
        chosen = parts.placer.choose(exchange)
        if isinstance(chosen, core.Refusal):
            return Failed(chosen, may_retry=False)
        if not self._may_still_send(exchange):
            return Failed(
                _faults.not_run(
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
            release=upstream.release,
            model=model,
            load=chosen.load,
            candidates=chosen.candidates,
            load_share=chosen.load_share,
        )
        exchange.attempts.append(attempt)
        call = _upstream_call.UpstreamCall(
            upstream.address, exchange.caller, parts.answer_limits
        )
        parts.placer.load.started(upstream.name)
        parts.models.sent(exchange)
        try:
            result = self._call(exchange, attempt, call, upstream)
            is_lost = (
                attempt.outcome in _suspects.PROBED_OUTCOMES
                and not call.accepts_connections()
            )
            if is_lost:
                parts.placer.health.unreachable(upstream.name)
            parts.suspects.run_ended(exchange, attempt, upstream, is_lost)
            return result
        finally:
            call.close()
            parts.placer.load.ended(upstream.name)
            parts.models.ended(exchange)

    def _may_still_send(self, exchange: _exchange.Exchange) -> bool:
        return not exchange.team or self._parts.state.lease_remaining_s() > 0.0

    def _call(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        call: _upstream_call.UpstreamCall,
        upstream: membership.Upstream,
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
                urgency=decisions.urgency(
                    exchange.priority, len(exchange.attempts)
                ),
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
            return self._fault(exchange, attempt, fault)
        patience = _patience.Patience(
            call, attempt.upstream, parts.placer.health, parts.clock
        )
        head = patience.read(
            call.read_head,
            exchange.deadline_s,
            self._silence_policy(exchange, exchange.route.target_latency_s),
        )
        if isinstance(head, _upstream_call.Fault):
            return self._fault(exchange, attempt, head)
        facts = parts.dialect.read_answer(head, exchange.facts.request_id)
        if not isinstance(facts.load, core.Missing):
            parts.placer.load.reported(attempt.upstream, facts.load)
        self._note_wishes(upstream, facts)
        if facts.not_run or facts.other_upstream:
            return self._turned_away(attempt, facts)
        parts.models.answered(exchange)
        exchange.note_run(core.RunState.RAN)
        if not facts.is_genuine:
            return self._fault(exchange, attempt, _upstream_call.Fault.GARBLED)
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
        return self._take_answer(exchange, attempt, call, head, patience)

    def _note_wishes(
        self, upstream: membership.Upstream, facts: _dialect.AnswerFacts
    ) -> None:
        """Takes what the upstream asks of this instance in its answer."""
        health = self._parts.placer.health
        if facts.leaving:
            health.said_leaving(upstream.name, upstream.incarnation)
        if facts.retry_after_s:
            health.asked_to_wait(upstream.name, facts.retry_after_s)
        if facts.leaving or facts.retry_after_s:
            self._parts.log.note(
                "upstream",
                name=upstream.name,
                said="leaving" if facts.leaving else "full",
                wait_s=facts.retry_after_s,
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
        attempt.pressure = self._parts.models.pressure()
        model = self._parts.models.escalates_to(
            exchange,
            attempt.model,
            facts.confidence,
            attempt.load_share,
            attempt.pressure,
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
        patience: _patience.Patience,
    ) -> _stream_relay.Relayed | Failed:
        parts = self._parts
        took_s = parts.clock.now() - attempt.began_s
        if (
            exchange.route.kind is routing.RouteKind.STREAMING
            and head.status < 300
        ):
            parts.placer.health.succeeded(attempt.upstream)
            return self._relay_stream(
                exchange, attempt, call, head, patience, took_s
            )
        body = patience.read(
            call.read_body, exchange.deadline_s, core.Missing.UNSET
        )
        if isinstance(body, _upstream_call.Fault):
            return self._fault(exchange, attempt, body)
        attempt.outcome = str(head.status)
        answer = _messages.Response(
            head.status,
            tuple(parts.dialect.answer_headers(head)),
            body,
            head.reason,
        )
        good = (
            head.status < 500
            and head.status not in _faults.PROMISES
            and not exchange.answered
        )
        whole_s = parts.clock.now() - attempt.began_s
        parts.watch.observe(exchange, attempt, good, took_s, whole_s)
        if good:
            parts.placer.health.succeeded(attempt.upstream)
            return self.send_answer(exchange, answer)
        parts.placer.health.failed(attempt.upstream)
        is_promise = head.status in _faults.PROMISES
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
        patience: _patience.Patience,
        took_s: float,
    ) -> _stream_relay.Relayed | Failed:
        policy = self._silence_policy(exchange, exchange.route.max_event_gap_s)
        pace = _stream_pace.StreamPace(
            self._parts.clock,
            lambda gap_s: self._parts.watch.observe(
                exchange, attempt, True, took_s, gap_s
            ),
        )

        def progressed(events: int) -> None:
            patience.note_progress()
            pace.note(events)

        def read() -> bytes | _upstream_call.Fault:
            return patience.read(call.read_some, exchange.deadline_s, policy)

        patience.note_progress()
        relayed = self._relay.relay(exchange, attempt, read, head, progressed)
        pace.end()
        if isinstance(relayed, _stream_relay.Relayed):
            return relayed
        failed = self._fault(exchange, attempt, relayed.fault)
        resumable = exchange.route.is_resumable and failed.may_retry
        return dataclasses.replace(failed, may_retry=resumable)

    def _fault(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        fault: _upstream_call.Fault,
    ) -> Failed:
        parts = self._parts
        attempt.outcome = fault.value
        if fault in _upstream_call.NOT_SENT:
            attempt.arrived = False
        else:
            exchange.note_run(core.RunState.UNKNOWN)
        _faults.HEALTH_NOTE[fault](parts.placer.health, attempt.upstream)
        if fault not in _faults.NOT_THE_VERSIONS_FAULT:
            parts.watch.observe(
                exchange,
                attempt,
                False,
                parts.clock.now() - attempt.began_s,
            )
        if fault is _upstream_call.Fault.SILENT:
            return Failed(too_late(exchange), may_retry=False)
        return Failed(
            core.Refusal(
                _faults.KIND_BY_FAULT[fault],
                exchange.run,
                f"{attempt.upstream}: {fault.value}",
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

    def _left_s(self, exchange: _exchange.Exchange) -> float:
        return exchange.deadline_s - self._parts.clock.now()


def too_late(exchange: _exchange.Exchange) -> core.Refusal:
    """Returns the refusal of a request whose time has passed."""
    kind = (
        core.ErrorKind.DEADLINE_UNREACHABLE
        if exchange.run is core.RunState.NOT_RUN
        else core.ErrorKind.DEADLINE_EXCEEDED
    )
    return core.Refusal(
        kind, exchange.run, "the deadline passed before the answer was there"
    )


def _blocked(exchange: _exchange.Exchange, blocked_s: float) -> core.Refusal:
    """Returns the refusal of a content that upstreams did not survive."""
    return core.Refusal(
        core.ErrorKind.CONTENT_BLOCKED
        if exchange.run is core.RunState.NOT_RUN
        else core.ErrorKind.UPSTREAM_FAILED,
        exchange.run,
        f"upstreams were lost during runs of content {exchange.content}",
        retry_after_s=blocked_s,
    )


def work(exchange: _exchange.Exchange) -> decisions.Work:
    """Returns what the decisions know of the request."""
    return decisions.Work(
        team=exchange.team,
        kind=exchange.route.name,
        priority=exchange.priority,
        deadline_at_s=exchange.deadline_s,
        service=exchange.service,
        is_idempotent=exchange.route.is_idempotent,
        is_call=exchange.route.kind is not routing.RouteKind.STREAMING,
    )
