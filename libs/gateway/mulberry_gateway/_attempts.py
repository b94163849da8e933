"""Sends a request to upstreams, one attempt at a time."""

import dataclasses

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_routing as routing
from mulberry_gateway import (
    _blocks,
    _components,
    _dialect,
    _event_gap_meter,
    _exchange,
    _faults,
    _messages,
    _quarantine,
    _running_requests,
    _stall_detector,
    _stop_check,
    _stream_relay,
    _upstream_call,
)

#: Minimum time before the deadline to start an attempt, seconds.
MIN_ATTEMPT_S = 0.03


@dataclasses.dataclass(frozen=True)
class AttemptFailure:
    """A failed attempt, and whether another one may follow."""

    refusal: core.Refusal
    #: Whether another upstream may be tried.
    may_retry: bool
    #: Whether the retry budget has already granted the next attempt.
    retry_granted: bool = False
    #: The upstream's answer, forwarded if no later attempt succeeds.
    answer: _messages.Response | core.Missing = core.Missing.UNSET


class AttemptRunner:
    """Sends a request to one upstream after another until one answers."""

    def __init__(self, components: _components.GatewayComponents) -> None:
        self._components = components
        self._relay = _stream_relay.StreamRelay(
            components.dialect, components.clock
        )

    def run(
        self, exchange: _exchange.Exchange
    ) -> _stream_relay.Relayed | AttemptFailure:
        """Tries upstreams until one answers or no retry is allowed."""
        while True:
            failed = self._attempt(exchange)
            if isinstance(failed, _stream_relay.Relayed):
                return failed
            if not failed.retry_granted and not (
                failed.may_retry and self._may_retry(exchange)
            ):
                return failed

    def send_answer(
        self, exchange: _exchange.Exchange, answer: _messages.Response
    ) -> _stream_relay.Relayed:
        """Forwards a complete answer to the caller."""
        data = _messages.write_response(
            answer,
            exchange.keep_alive,
            head_only=exchange.request.method == "HEAD",
        )
        exchange.answered = True
        exchange.first_byte_s = self._components.clock.now()
        exchange.status = answer.status
        sent = exchange.caller.send_all(data)
        return _stream_relay.Relayed(sent and exchange.keep_alive)

    def _may_retry(self, exchange: _exchange.Exchange) -> bool:
        drain = self._components.drain
        if len(exchange.attempts) >= exchange.route.max_attempts:
            return False
        if self._remaining_s(exchange) < MIN_ATTEMPT_S or drain.has_ended:
            return False
        if not any(attempt.may_have_arrived for attempt in exchange.attempts):
            # No upstream can have received the request, so the next attempt
            # does not count against the retry budget.
            return True
        return self._components.retry_budget.try_retry(
            decision_inputs(exchange), exchange.run
        )

    def _attempt(
        self, exchange: _exchange.Exchange
    ) -> _stream_relay.Relayed | AttemptFailure:
        components = self._components
        if self._remaining_s(exchange) < MIN_ATTEMPT_S:
            return AttemptFailure(deadline_refusal(exchange), may_retry=False)
        block = components.quarantine.find_block(exchange)
        if isinstance(block, _blocks.Block):
            return AttemptFailure(
                _quarantine_refusal(exchange, block), may_retry=False
            )
        chosen = components.upstream_selector.choose(exchange)
        if isinstance(chosen, core.Refusal):
            return AttemptFailure(chosen, may_retry=False)
        if not _stop_check.may_send(components, exchange):
            return AttemptFailure(
                _stop_check.leaving_refusal(), may_retry=False
            )
        if not self._may_send(exchange):
            return AttemptFailure(
                _faults.not_run(
                    core.ErrorKind.RULES_LEASE_EXPIRED,
                    "the rules lease expired before the request was sent",
                ),
                may_retry=False,
            )
        upstream = chosen.upstream
        exchange.model = model = components.model_selector.choose(exchange)
        attempt = _exchange.Attempt(
            upstream.name,
            components.clock.now(),
            release=upstream.release,
            model=model,
            load=chosen.load,
            candidates=chosen.candidates,
            load_share=chosen.load_share,
        )
        call = _upstream_call.UpstreamCall(
            upstream.address, exchange.caller, components.answer_limits
        )
        block = components.quarantine.run_begins(
            _running_requests.RunningRequest(exchange, attempt, call.withdraw),
            upstream,
        )
        if isinstance(block, _blocks.Block):
            return AttemptFailure(
                _quarantine_refusal(exchange, block), may_retry=False
            )
        exchange.attempts.append(attempt)
        components.upstream_selector.load.started(upstream.name)
        components.model_selector.sent(exchange)
        try:
            result = self._call(exchange, attempt, call, upstream)
            is_lost = (
                attempt.outcome in _quarantine.PROBED_OUTCOMES
                and not call.accepts_connections()
            )
            if is_lost:
                components.upstream_selector.health.unreachable(upstream.name)
            components.quarantine.run_ended(
                exchange, attempt, upstream, is_lost
            )
            return result
        finally:
            components.quarantine.run_left(attempt)
            call.close()
            components.upstream_selector.load.ended(upstream.name)
            components.model_selector.ended(exchange)

    def _may_send(self, exchange: _exchange.Exchange) -> bool:
        return (
            not exchange.team
            or self._components.state.lease_remaining_s() > 0.0
        )

    def _call(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        call: _upstream_call.UpstreamCall,
        upstream: membership.Upstream,
    ) -> _stream_relay.Relayed | AttemptFailure:
        components = self._components
        request = exchange.request
        headers = components.dialect.upstream_request_headers(
            request,
            _dialect.ForwardingMetadata(
                upstream=attempt.upstream,
                left_s=self._remaining_s(exchange),
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
        fault = call.send(
            data,
            request.method == "HEAD",
            lambda: _stop_check.may_send(components, exchange),
        )
        if fault is _upstream_call.Fault.WITHHELD:
            return dataclasses.replace(
                self._handle_fault(exchange, attempt, fault),
                refusal=_stop_check.leaving_refusal(),
                may_retry=False,
            )
        if isinstance(fault, _upstream_call.Fault):
            return self._handle_fault(exchange, attempt, fault)
        stall_detector = _stall_detector.StallDetector(
            call,
            attempt.upstream,
            components.upstream_selector.health,
            components.clock,
        )
        head = stall_detector.read(
            call.read_head,
            exchange.deadline_s,
            self._silence_policy(exchange, exchange.route.target_latency_s),
        )
        if isinstance(head, _upstream_call.Fault):
            return self._handle_fault(exchange, attempt, head)
        attempt.head_s = components.clock.now()
        metadata = components.dialect.parse_response(
            head, exchange.metadata.request_id
        )
        if not isinstance(metadata.load, core.Missing):
            components.upstream_selector.load.reported(
                attempt.upstream, metadata.load
            )
        self._apply_upstream_signals(upstream, metadata)
        if metadata.not_run or metadata.is_other_upstream:
            return self._handle_not_run(attempt, metadata)
        if not metadata.is_genuine:
            return self._handle_fault(
                exchange, attempt, _upstream_call.Fault.GARBLED
            )
        components.model_selector.answered(exchange)
        exchange.update_run_state(core.RunState.RAN)
        if head.status < 300 and self._should_escalate(
            exchange, attempt, metadata
        ):
            return AttemptFailure(
                core.Refusal(
                    core.ErrorKind.UPSTREAM_FAILED,
                    core.RunState.RAN,
                    f"{attempt.model} answered with too little confidence",
                ),
                may_retry=True,
                retry_granted=True,
            )
        return self._handle_answer(
            exchange, attempt, call, head, stall_detector
        )

    def _apply_upstream_signals(
        self, upstream: membership.Upstream, metadata: _dialect.ResponseMetadata
    ) -> None:
        """Applies the shutdown and retry-after signals of an answer."""
        health = self._components.upstream_selector.health
        if metadata.is_leaving:
            health.shutdown_announced(upstream.name, upstream.incarnation)
        if metadata.retry_after_s:
            health.retry_after_received(upstream.name, metadata.retry_after_s)
        if metadata.is_leaving or metadata.retry_after_s:
            self._components.log.note(
                "upstream",
                name=upstream.name,
                said="leaving" if metadata.is_leaving else "full",
                wait_s=metadata.retry_after_s,
            )

    def _silence_policy(
        self, exchange: _exchange.Exchange, expected_s: float
    ) -> decisions.InactivityPolicy | core.Missing:
        """Returns when to abandon an inactive upstream; unset for never."""
        route = exchange.route
        if not route.is_idempotent or (
            len(exchange.attempts) >= route.max_attempts
        ):
            return core.Missing.UNSET
        return decisions.InactivityPolicy(expected_s)

    def _should_escalate(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        metadata: _dialect.ResponseMetadata,
    ) -> bool:
        """Whether to discard the answer and try a larger model."""
        if not isinstance(metadata.confidence, core.Missing):
            attempt.confidence = metadata.confidence
        attempt.pressure = self._components.model_selector.pressure()
        model = self._components.model_selector.escalates_to(
            exchange,
            attempt.model,
            metadata.confidence,
            attempt.load_share,
            attempt.pressure,
        )
        if isinstance(model, core.Missing) or attempt.trials:
            # A trial must show whether the upstream outlives the answer.
            return False
        # The larger model's answer must not be cut off by a stop.
        may_wait = _stop_check.may_accept(
            self._components, exchange.route, exchange.deadline_s
        )
        if not may_wait or not self._may_retry(exchange):
            return False
        exchange.model = model
        attempt.outcome = _exchange.UNSURE
        return True

    def _handle_answer(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        call: _upstream_call.UpstreamCall,
        head: _messages.ResponseHead,
        stall_detector: _stall_detector.StallDetector,
    ) -> _stream_relay.Relayed | AttemptFailure:
        components = self._components
        time_to_head_s = components.clock.now() - attempt.began_s
        if (
            exchange.route.kind is routing.RouteKind.STREAMING
            and head.status < 300
        ):
            components.upstream_selector.health.succeeded(attempt.upstream)
            return self._relay_stream(
                exchange, attempt, call, head, stall_detector, time_to_head_s
            )
        body = stall_detector.read(
            call.read_body, exchange.deadline_s, core.Missing.UNSET
        )
        if isinstance(body, _upstream_call.Fault):
            return self._handle_fault(exchange, attempt, body)
        attempt.outcome = str(head.status)
        answer = _messages.Response(
            head.status,
            tuple(components.dialect.caller_response_headers(head)),
            body,
            head.reason,
        )
        good = (
            head.status < 500
            and head.status not in _faults.NOT_RUN_STATUSES
            and not exchange.answered
        )
        total_s = components.clock.now() - attempt.began_s
        components.rollout_controller.observe(
            exchange, attempt, good, time_to_head_s, total_s
        )
        if good:
            components.upstream_selector.health.succeeded(attempt.upstream)
            return self.send_answer(exchange, answer)
        components.upstream_selector.health.failed(attempt.upstream)
        promises_not_run = head.status in _faults.NOT_RUN_STATUSES
        return AttemptFailure(
            core.Refusal(
                core.ErrorKind.UPSTREAM_FAILED,
                core.RunState.RAN,
                f"{attempt.upstream} answered {head.status}",
            ),
            may_retry=exchange.route.is_idempotent,
            answer=core.Missing.UNSET if promises_not_run else answer,
        )

    def _relay_stream(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        call: _upstream_call.UpstreamCall,
        head: _messages.ResponseHead,
        stall_detector: _stall_detector.StallDetector,
        time_to_head_s: float,
    ) -> _stream_relay.Relayed | AttemptFailure:
        policy = self._silence_policy(exchange, exchange.route.max_event_gap_s)
        gap_meter = _event_gap_meter.EventGapMeter(
            self._components.clock,
            lambda gap_s: self._components.rollout_controller.observe(
                exchange, attempt, True, time_to_head_s, gap_s
            ),
        )

        def on_progress(events: int) -> None:
            stall_detector.note_progress()
            if not attempt.events:
                attempt.first_event_s = self._components.clock.now()
            attempt.events += events
            self._components.quarantine.answer_continues(exchange, attempt)
            gap_meter.add_events(events)

        def read() -> bytes | _upstream_call.Fault:
            return stall_detector.read(
                call.read_some, exchange.deadline_s, policy
            )

        stall_detector.note_progress()
        relayed = self._relay.relay(exchange, attempt, read, head, on_progress)
        gap_meter.finish()
        if isinstance(relayed, _stream_relay.Relayed):
            return relayed
        failed = self._handle_fault(exchange, attempt, relayed.fault)
        resumable = exchange.route.is_resumable and failed.may_retry
        return dataclasses.replace(failed, may_retry=resumable)

    def _handle_fault(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        fault: _upstream_call.Fault,
    ) -> AttemptFailure:
        components = self._components
        attempt.outcome = fault.value
        if fault in _upstream_call.NOT_SENT:
            attempt.may_have_arrived = False
        else:
            exchange.update_run_state(core.RunState.UNKNOWN)
        _faults.HEALTH_REPORT_BY_FAULT[fault](
            components.upstream_selector.health, attempt.upstream
        )
        if fault not in _faults.FAULTS_UNRELATED_TO_VERSION:
            components.rollout_controller.observe(
                exchange,
                attempt,
                False,
                components.clock.now() - attempt.began_s,
            )
        if fault is _upstream_call.Fault.SILENT:
            return AttemptFailure(deadline_refusal(exchange), may_retry=False)
        return AttemptFailure(
            core.Refusal(
                _faults.KIND_BY_FAULT[fault],
                exchange.run,
                f"{attempt.upstream}: {fault.value}",
            ),
            may_retry=fault is not _upstream_call.Fault.CALLER_GONE,
        )

    def _handle_not_run(
        self, attempt: _exchange.Attempt, metadata: _dialect.ResponseMetadata
    ) -> AttemptFailure:
        """Handles an answer that states that the request was not run."""
        if metadata.is_other_upstream:
            attempt.outcome = _exchange.OTHER_UPSTREAM
            self._components.upstream_selector.health.unreachable(
                attempt.upstream
            )
        else:
            attempt.outcome = _exchange.TURNED_AWAY
        return AttemptFailure(
            core.Refusal(
                core.ErrorKind.UPSTREAM_REFUSED,
                core.RunState.NOT_RUN,
                f"{attempt.upstream}: {attempt.outcome}",
            ),
            may_retry=True,
        )

    def _remaining_s(self, exchange: _exchange.Exchange) -> float:
        return exchange.deadline_s - self._components.clock.now()


def deadline_refusal(exchange: _exchange.Exchange) -> core.Refusal:
    """Returns the refusal of a request whose deadline has passed."""
    kind = (
        core.ErrorKind.DEADLINE_UNREACHABLE
        if exchange.run is core.RunState.NOT_RUN
        else core.ErrorKind.DEADLINE_EXCEEDED
    )
    return core.Refusal(
        kind, exchange.run, "the deadline passed before the answer arrived"
    )


def _quarantine_refusal(
    exchange: _exchange.Exchange, block: _blocks.Block
) -> core.Refusal:
    """Returns the refusal of a request that is quarantined."""
    return core.Refusal(
        core.ErrorKind.CONTENT_BLOCKED
        if exchange.run is core.RunState.NOT_RUN
        else core.ErrorKind.UPSTREAM_FAILED,
        exchange.run,
        f"upstreams were lost while running {block.subject}",
        retry_after_s=block.remaining_s,
    )


def decision_inputs(exchange: _exchange.Exchange) -> decisions.Work:
    """Returns the attributes of a request that decisions use."""
    return decisions.Work(
        team=exchange.team,
        kind=exchange.route.name,
        priority=exchange.priority,
        deadline_at_s=exchange.deadline_s,
        service=exchange.service,
        is_idempotent=exchange.route.is_idempotent,
        is_call=exchange.route.kind is not routing.RouteKind.STREAMING,
    )
