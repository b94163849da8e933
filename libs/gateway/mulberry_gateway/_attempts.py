"""Sends a request to upstreams, one attempt at a time."""

import dataclasses

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_routing as routing
from mulberry_gateway import (
    _attempt_failure,
    _blocks,
    _components,
    _dialect,
    _event_gap_meter,
    _exchange,
    _faults,
    _messages,
    _quarantine,
    _replacement,
    _retry_policy,
    _running_requests,
    _stall_detector,
    _stop_check,
    _stream_relay,
    _upstream_call,
    _upstream_opener,
    _upstream_signals,
)


class AttemptRunner:
    """Sends a request to one upstream after another until one answers."""

    def __init__(self, components: _components.GatewayComponents) -> None:
        self._components = components
        self._relay = _stream_relay.StreamRelay(
            components.dialect, components.clock
        )
        self._retries = _retry_policy.RetryPolicy(
            components.retry_budget, components.clock
        )
        self._opener = _upstream_opener.UpstreamOpener(
            components, self._retries
        )
        self._signals = _upstream_signals.UpstreamSignals(
            components.upstream_selector,
            components.rate_gate,
            components.log,
        )

    def request_started(self, exchange: _exchange.Exchange) -> None:
        """Counts a request towards the retry budget."""
        self._retries.request_started(exchange)

    def run(
        self, exchange: _exchange.Exchange
    ) -> _stream_relay.Relayed | _attempt_failure.AttemptFailure:
        """Tries upstreams until one answers or no retry is allowed."""
        upstream = self._opener.open(exchange)
        while not isinstance(upstream, _attempt_failure.AttemptFailure):
            outcome = self._attempt(exchange, upstream)
            if isinstance(outcome, _stream_relay.Relayed):
                return outcome
            upstream = self._next_upstream(exchange, outcome)
        return upstream

    def _next_upstream(
        self,
        exchange: _exchange.Exchange,
        failed: _attempt_failure.AttemptFailure,
    ) -> _attempt_failure.ConnectedUpstream | _attempt_failure.AttemptFailure:
        """Returns the upstream of the next attempt, or the final failure."""
        if not isinstance(failed.replacement, core.Missing):
            opened = self._opener.confirm(exchange, failed.replacement)
        elif not failed.may_retry:
            return failed
        else:
            denial = self._retries.take_retry(exchange)
            if not isinstance(denial, core.Missing):
                exchange.retry_denial = denial.value
                return failed
            opened = self._opener.open(exchange)
        if isinstance(opened, _attempt_failure.AttemptFailure):
            self._retries.return_retry(exchange)
            exchange.retry_denial = _retry_policy.RetryDenial.CONNECTION.value
            return dataclasses.replace(opened, answer=failed.answer)
        return opened

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

    def _attempt(
        self,
        exchange: _exchange.Exchange,
        connected: _attempt_failure.ConnectedUpstream,
    ) -> _stream_relay.Relayed | _attempt_failure.AttemptFailure:
        components = self._components
        call, selection = connected.call, connected.selection
        upstream = selection.upstream
        # Connecting took time, in which the request may have become invalid.
        refusal = self._opener.refusal(exchange)
        if isinstance(refusal, core.Refusal):
            call.close()
            components.upstream_selector.released(selection)
            self._retries.return_retry(exchange)
            return _attempt_failure.AttemptFailure(refusal, may_retry=False)
        # After the lease, which vouches only for a view that is read later.
        checked = self._opener.check_connected(exchange, connected)
        if isinstance(checked, _attempt_failure.AttemptFailure):
            self._retries.return_retry(exchange)
            return checked
        exchange.model = model = components.model_selector.choose(exchange)
        attempt = _exchange.Attempt(
            upstream.name,
            connected.began_s,
            release=upstream.release,
            model=model,
            load=selection.load,
            candidates=selection.candidates,
            load_share=selection.load_share,
        )
        block = components.quarantine.run_begins(
            _running_requests.RunningRequest(exchange, attempt, call.withdraw),
            upstream,
        )
        if isinstance(block, _blocks.Block):
            call.close()
            components.upstream_selector.released(selection)
            self._retries.return_retry(exchange)
            return _attempt_failure.AttemptFailure(
                _attempt_failure.quarantine_refusal(exchange, block),
                may_retry=False,
            )
        exchange.attempts.append(attempt)
        components.upstream_selector.load.started(upstream.name)
        components.model_selector.sent(exchange)
        replacement = _replacement.Replacement(
            exchange,
            self._opener,
            self._retries,
            components.upstream_selector,
        )
        try:
            result = self._call(exchange, attempt, connected, replacement)
            is_lost = (
                attempt.outcome in _quarantine.PROBED_OUTCOMES
                # A cut of this instance's links is no crash.
                and not call.is_reachable()
            )
            if is_lost:
                components.upstream_selector.health.unreachable(upstream.name)
            components.quarantine.run_ended(
                exchange, attempt, upstream, is_lost
            )
            if (
                isinstance(result, _attempt_failure.AttemptFailure)
                and result.may_retry
            ):
                return dataclasses.replace(
                    result, replacement=replacement.take()
                )
            return result
        finally:
            replacement.discard()
            components.quarantine.run_left(attempt)
            call.close()
            components.upstream_selector.load.ended(upstream.name)
            components.upstream_selector.released(selection)
            components.model_selector.ended(exchange)

    def _call(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        connected: _attempt_failure.ConnectedUpstream,
        replacement: _replacement.Replacement,
    ) -> _stream_relay.Relayed | _attempt_failure.AttemptFailure:
        components = self._components
        call, selection = connected.call, connected.selection
        request = exchange.request
        headers = components.dialect.upstream_request_headers(
            request,
            _dialect.ForwardingMetadata(
                upstream=attempt.upstream,
                left_s=self._retries.remaining_s(exchange),
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
        attempt.sent_s = components.clock.now()
        fault = call.send(data, request.method == "HEAD")
        if isinstance(fault, _upstream_call.Fault):
            return self._handle_fault(exchange, attempt, fault)
        stall_detector = _stall_detector.StallDetector(
            call,
            attempt.upstream,
            components.upstream_selector.health,
            components.clock,
            replacement,
        )
        head = stall_detector.read(
            call.read_head,
            exchange.deadline_s,
            self._silence_policy(exchange, exchange.route.target_latency_s),
        )
        if isinstance(head, _upstream_call.Fault):
            self._log_abandoned(exchange, attempt, stall_detector)
            return self._handle_fault(exchange, attempt, head)
        attempt.head_s = components.clock.now()
        metadata = components.dialect.parse_response(
            head, exchange.metadata.request_id
        )
        components.upstream_selector.reported(
            selection, exchange.service, metadata.load
        )
        self._signals.apply(exchange.service, selection.upstream, metadata)
        if metadata.not_run or metadata.is_other_upstream:
            return self._handle_not_run(exchange, attempt, metadata)
        if not metadata.is_genuine:
            return self._handle_fault(
                exchange, attempt, _upstream_call.Fault.GARBLED
            )
        components.upstream_selector.began(selection)
        components.model_selector.answered(exchange)
        exchange.update_run_state(core.RunState.RAN)
        if head.status < 300 and self._should_escalate(
            exchange, attempt, metadata, replacement
        ):
            return _attempt_failure.AttemptFailure(
                core.Refusal(
                    core.ErrorKind.UPSTREAM_FAILED,
                    core.RunState.RAN,
                    f"{attempt.model} answered with too little confidence",
                ),
                may_retry=True,
            )
        return self._handle_answer(
            exchange, attempt, call, head, stall_detector
        )

    def _silence_policy(
        self, exchange: _exchange.Exchange, expected_s: float
    ) -> decisions.InactivityPolicy | core.Missing:
        """Returns when to abandon an inactive upstream; unset for never."""
        route = exchange.route
        if not route.is_idempotent or (
            exchange.sent_attempts >= route.max_attempts
        ):
            return core.Missing.UNSET
        return decisions.InactivityPolicy(expected_s)

    def _should_escalate(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        metadata: _dialect.ResponseMetadata,
        replacement: _replacement.Replacement,
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
        if not _stop_check.may_accept(
            self._components, exchange.route, exchange.deadline_s
        ):
            # The larger model's answer must not be cut off by a stop.
            return False
        # The larger model may run on the same upstream, without this run.
        load = self._components.upstream_selector.load
        attempt.outcome = _exchange.UNSURE
        load.ended(attempt.upstream)
        # The upstream is chosen for the work of the larger model.
        exchange.model = model
        try:
            is_secured = replacement.secure()
        finally:
            load.started(attempt.upstream)
        if not is_secured:
            attempt.outcome = _exchange.RUNNING
            exchange.model = attempt.model
        return is_secured

    def _handle_answer(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        call: _upstream_call.UpstreamCall,
        head: _messages.ResponseHead,
        stall_detector: _stall_detector.StallDetector,
    ) -> _stream_relay.Relayed | _attempt_failure.AttemptFailure:
        components = self._components
        time_to_head_s = components.clock.now() - attempt.began_s
        if (
            exchange.route.kind is routing.RouteKind.STREAMING
            and head.status < 300
            # Without a body there is nothing to relay, and no last chunk.
            and exchange.request.method != "HEAD"
            and head.status not in _messages.BODILESS_STATUSES
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
        return _attempt_failure.AttemptFailure(
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
    ) -> _stream_relay.Relayed | _attempt_failure.AttemptFailure:
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
        self._log_abandoned(exchange, attempt, stall_detector)
        failed = self._handle_fault(exchange, attempt, relayed.fault)
        resumable = exchange.route.is_resumable and failed.may_retry
        return dataclasses.replace(failed, may_retry=resumable)

    def _log_abandoned(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        stall_detector: _stall_detector.StallDetector,
    ) -> None:
        """Logs that the router ended a run for lack of a sign of life."""
        reason = stall_detector.abandon_reason
        if isinstance(reason, core.Missing):
            return
        self._components.log.note(
            "abandoned",
            keep=True,
            id=exchange.metadata.request_id,
            upstream=attempt.upstream,
            reason=reason.value,
            inactive_ms=round(stall_detector.inactive_s * 1000),
            events=attempt.events,
        )

    def _handle_fault(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        fault: _upstream_call.Fault,
    ) -> _attempt_failure.AttemptFailure:
        components = self._components
        attempt.outcome = fault.value
        if fault in _upstream_call.NOT_SENT:
            attempt.may_have_arrived = False
        else:
            exchange.update_run_state(core.RunState.UNKNOWN)
        _faults.HEALTH_REPORT_BY_FAULT[fault](
            components.upstream_selector.health, attempt.upstream
        )
        if fault in _faults.BROKEN_CONNECTIONS:
            components.rate_gate.connection_broke(
                exchange.service, attempt.upstream
            )
        if fault not in _faults.FAULTS_UNRELATED_TO_VERSION:
            components.rollout_controller.observe(
                exchange,
                attempt,
                False,
                components.clock.now() - attempt.began_s,
            )
        if fault is _upstream_call.Fault.SILENT:
            return _attempt_failure.AttemptFailure(
                _attempt_failure.deadline_refusal(exchange), may_retry=False
            )
        return _attempt_failure.AttemptFailure(
            core.Refusal(
                _faults.KIND_BY_FAULT[fault],
                exchange.run,
                f"{attempt.upstream}: {fault.value}",
            ),
            may_retry=fault is not _upstream_call.Fault.CALLER_GONE,
        )

    def _handle_not_run(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        metadata: _dialect.ResponseMetadata,
    ) -> _attempt_failure.AttemptFailure:
        """Handles an answer that states that the request was not run."""
        if metadata.is_other_upstream:
            attempt.outcome = _exchange.OTHER_UPSTREAM
            self._components.upstream_selector.health.unreachable(
                attempt.upstream
            )
            self._components.rate_gate.connection_broke(
                exchange.service, attempt.upstream
            )
        else:
            attempt.outcome = _exchange.TURNED_AWAY
        return _attempt_failure.AttemptFailure(
            core.Refusal(
                core.ErrorKind.UPSTREAM_REFUSED,
                core.RunState.NOT_RUN,
                f"{attempt.upstream}: {attempt.outcome}",
            ),
            may_retry=True,
        )
