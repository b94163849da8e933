"""Execution of one chat request: attempts, retries and billing."""

import dataclasses
import functools
import time
from collections.abc import Callable, Mapping
from typing import TypeVar

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_rules as rules
import mulberry_state as state
import mulberry_upstream as upstream
from mulberry_entry import _components, _dispatch, _requests, _work

T = TypeVar("T")

#: Attempts to send one request to one model, including the first.
_MAX_ATTEMPTS = 3

#: How long a retry waits for a free upstream slot, and how often it
#: checks, seconds.
_SLOT_WAIT_S = 10.0
_SLOT_POLL_S = 0.1

#: Bounds on the time to commit a bill, seconds. The lower bound applies even
#: past the deadline, since the answer is complete and only the bill is missing.
_MIN_BILL_TIMEOUT_S = 1.0
_MAX_BILL_TIMEOUT_S = 5.0

#: A rating is the probability that an answer is good; the version judge counts
#: answers rated below this as bad. With the quality from the model's rule as
#: the threshold, half of the answers of a sound version counted as bad, and
#: against such a reference a regression of the other version was not
#: detectable.
_GOOD_RATING = 0.5

#: Failures that may be retried on another upstream.
_RETRYABLE = frozenset(
    {
        core.ErrorKind.UPSTREAM_REFUSED,
        core.ErrorKind.UPSTREAM_FAILED,
        core.ErrorKind.ANSWER_INCOMPLETE,
        core.ErrorKind.ANSWER_MISMATCHED,
    }
)

_OUTCOME_BY_KIND: Mapping[core.ErrorKind, decisions.Outcome] = {
    core.ErrorKind.UPSTREAM_REFUSED: decisions.Outcome.REFUSED,
    core.ErrorKind.UPSTREAM_FAILED: decisions.Outcome.FAILED,
    core.ErrorKind.ANSWER_INCOMPLETE: decisions.Outcome.TRUNCATED,
    core.ErrorKind.ANSWER_MISMATCHED: decisions.Outcome.GARBLED,
    core.ErrorKind.DEADLINE_EXCEEDED: decisions.Outcome.LATE,
    core.ErrorKind.CALLER_GONE: decisions.Outcome.CANCELED,
}

#: Failures that may mean that the upstream was lost.
_CONNECTION_FAILURES = frozenset(
    {core.ErrorKind.UPSTREAM_FAILED, core.ErrorKind.ANSWER_INCOMPLETE}
)


def outcome_of(refusal: core.Refusal) -> decisions.Outcome:
    """Returns the outcome of a run that ended with `refusal`."""
    return _OUTCOME_BY_KIND.get(refusal.kind, decisions.Outcome.FAILED)


@dataclasses.dataclass(frozen=True)
class TokenUsage:
    """Tokens used by one completed run."""

    model: str
    version: str
    tokens_in: int
    tokens_out: int


class ChatRun:
    """Sends one chat request and accounts for all of its attempts."""

    def __init__(
        self,
        components: _components.EntryComponents,
        dispatcher: _dispatch.Dispatcher,
        request: _requests.CallerRequest,
        chat: _work.Chat,
        kind: rules.Kind,
        work: decisions.Work,
        is_abandoned: Callable[[], bool],
    ) -> None:
        self.components = components
        self.request = request
        self.chat = chat
        self.kind = kind
        self.work = work
        #: All attempts of the request; the only source of its run state.
        self.record = upstream.SendRecord()
        self._dispatcher = dispatcher
        self._is_abandoned = is_abandoned
        self._usage: list[TokenUsage] = []
        self._reservation: _dispatch.Reservation | None = None
        self._broken_connections = 0
        self._latency_s: float | core.Missing = core.Missing.UNSET

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.work.deadline_at_s - self.components.clock.now()

    @property
    def tokens(self) -> int:
        """Tokens of all completed runs."""
        return sum(item.tokens_in + item.tokens_out for item in self._usage)

    def fetch_answer(
        self, model: str, version: str
    ) -> upstream.ChatAnswer | core.Refusal:
        """Returns a complete answer that passed all checks."""
        answer = self._send(
            model, version, self.components.engine.chat, stream=False
        )
        if not isinstance(answer, core.Refusal):
            self.record_completion(
                model, version, answer.tokens_in, answer.tokens_out
            )
        return answer

    def open_stream(
        self, model: str, version: str
    ) -> upstream.ResumingStream | core.Refusal:
        """Opens a streamed answer that reconnects after interruptions."""
        opened = self._send(
            model, version, self.components.engine.open_chat, stream=True
        )
        if isinstance(opened, core.Refusal):
            return opened
        return upstream.ResumingStream(
            opened, lambda plan: self._reopen(model, version, plan)
        )

    def record_completion(
        self, model: str, version: str, tokens_in: int, tokens_out: int
    ) -> None:
        """Records the usage of a run whose answer passed all checks.

        The caller reports it to the version judge once its rating is known;
        see `completed_observation`.
        """
        self._usage.append(TokenUsage(model, version, tokens_in, tokens_out))
        if self._reservation is not None:
            self._latency_s = (
                self.components.clock.now() - self._reservation.started_s
            )
        self._end(decisions.Outcome.COMPLETED)

    def completed_observation(
        self, rating: float | core.Missing
    ) -> decisions.Observation:
        """Returns the last completed run as an observation of its version."""
        last = self._usage[-1]
        return decisions.Observation(
            model=last.model,
            version=last.version,
            kind=self.kind.name,
            outcome=decisions.Outcome.COMPLETED,
            rating=rating,
            quality=_GOOD_RATING,
            latency_s=self._latency_s,
        )

    def record_failure(
        self, model: str, version: str, refusal: core.Refusal
    ) -> None:
        """Records a failed run with the version judge and ends it."""
        self._observe(model, version, outcome_of(refusal))
        self._end_failed(refusal)

    def bill(self) -> core.Refusal | core.Missing:
        """Commits one bill for all completed runs."""
        last = self._usage[-1]
        timeout_s = min(
            _MAX_BILL_TIMEOUT_S, max(_MIN_BILL_TIMEOUT_S, self.remaining_s)
        )
        return self.components.biller.bill(
            state.Bill(
                team=self.request.team,
                key=self.request.key,
                request_id=self.request.request_id,
                kind=self.kind.name,
                model=last.model,
                version=last.version,
                tokens_in=sum(item.tokens_in for item in self._usage),
                tokens_out=sum(item.tokens_out for item in self._usage),
                cost=sum(self._cost(item) for item in self._usage),
                body_digest=self.request.body_digest,
            ),
            timeout_s,
        )

    def _cost(self, usage: TokenUsage) -> float:
        in_force = self.components.state.view().rules
        if isinstance(in_force, core.Missing):
            return 0.0
        model = in_force.models_by_name.get(usage.model)
        price = model.cost_per_1k_tokens if model else 0.0
        return price * (usage.tokens_in + usage.tokens_out) / 1000.0

    def _send(
        self,
        model: str,
        version: str,
        send: Callable[[upstream.ChatRequest], T | core.Refusal],
        stream: bool,
    ) -> T | core.Refusal:
        exclude: set[str] = set()
        failure: core.Refusal | core.Missing = core.Missing.UNSET
        for _ in range(_MAX_ATTEMPTS):
            reserve = functools.partial(
                self._reserve, model, version, stream, exclude
            )
            request = (
                reserve()
                if isinstance(failure, core.Missing)
                else self._wait_for_slot(reserve)
            )
            if isinstance(request, core.Refusal):
                if isinstance(failure, core.Missing):
                    return request
                self._return_retry()
                return failure
            result = send(request)
            if not isinstance(result, core.Refusal):
                return result
            failure = result
            exclude.add(request.permit.upstream.name)
            self.record_failure(model, version, result)
            if not self._may_retry(result):
                break
        assert isinstance(failure, core.Refusal)
        return failure

    def _reserve(
        self, model: str, version: str, stream: bool, exclude: set[str]
    ) -> upstream.ChatRequest | core.Refusal:
        reservation = self._dispatcher.reserve(
            self.work,
            _dispatch.Destination(self.request.team, model, version),
            self.record.run,
            exclude,
        )
        if isinstance(reservation, core.Refusal):
            return reservation
        self._reservation = reservation
        return self._build_request(reservation, model, stream)

    def _wait_for_slot(
        self, reserve: Callable[[], T | core.Refusal]
    ) -> T | core.Refusal:
        """Repeats a reservation until an upstream slot is free.

        Requests that were in flight on a lost upstream are isolated from each
        other until they have completed, so each may have to wait for a slot.
        """
        until_s = self.components.clock.now() + min(
            _SLOT_WAIT_S, self.remaining_s
        )
        reserved = reserve()
        while (
            isinstance(reserved, core.Refusal)
            and reserved.kind is core.ErrorKind.NO_UPSTREAM
            and self.components.clock.now() < until_s
            and not self._is_abandoned()
        ):
            time.sleep(_SLOT_POLL_S)
            reserved = reserve()
        return reserved

    def _build_request(
        self, reservation: _dispatch.Reservation, model: str, stream: bool
    ) -> upstream.ChatRequest:
        remaining_s = max(0.0, self.remaining_s)
        return upstream.ChatRequest(
            permit=reservation.permit,
            record=self.record,
            request_id=self.request.request_id,
            body=self.chat.body_for(model, stream, self.request.body),
            limits=upstream.ExchangeLimits(
                total_s=remaining_s,
                # A non-streamed answer sends its first byte when complete.
                first_byte_s=remaining_s,
                idle_s=remaining_s,
            ),
            idempotency_key=""
            if isinstance(self.request.idempotency_key, core.Missing)
            else self.request.idempotency_key,
            priority=self.work.priority,
            is_abandoned=self._is_abandoned,
        )

    def _reopen(
        self, model: str, version: str, plan: upstream.ReopenPlan
    ) -> upstream.ChatStream | core.Refusal:
        if not self._may_retry(plan.cause):
            return plan.cause
        previous = self._reservation
        if plan.resume and previous is not None:
            reservation: _dispatch.Reservation | core.Refusal = (
                self._dispatcher.reserve_for_resume(
                    previous,
                    _dispatch.Destination(self.request.team, model, version),
                    self.record.run,
                )
            )
        else:
            self.record_failure(model, version, plan.cause)
            reservation = self._wait_for_slot(
                functools.partial(
                    self._dispatcher.reserve,
                    self.work,
                    _dispatch.Destination(self.request.team, model, version),
                    self.record.run,
                    {previous.chosen.name} if previous else (),
                )
            )
        if isinstance(reservation, core.Refusal):
            self._return_retry()
            return reservation
        if plan.resume and previous is not None:
            previous.end(decisions.Outcome.TRUNCATED)
        self._reservation = reservation
        self.components.counters.increment("entry.streams_reopened")
        return self.components.engine.open_chat(
            dataclasses.replace(
                self._build_request(reservation, model, stream=True),
                resume_from=plan.resume_from,
                checker=plan.checker,
            )
        )

    def _may_retry(self, refusal: core.Refusal) -> bool:
        return (
            refusal.kind in _RETRYABLE
            and self.remaining_s > 0
            # One request may crash at most two upstreams.
            and self._broken_connections < 2
            and self.components.decisions.retry_budget.try_retry(
                self.work, refusal.run
            )
        )

    def _return_retry(self) -> None:
        """Returns a retry that `_may_retry` took and that is not sent."""
        self.components.decisions.retry_budget.return_retry(self.work)

    def _end_failed(self, refusal: core.Refusal) -> None:
        reservation = self._reservation
        sent = refusal.run is not core.RunState.NOT_RUN
        if (
            reservation is not None
            and sent
            and refusal.kind in _CONNECTION_FAILURES
        ):
            self._broken_connections += 1
            self._dispatcher.handle_broken_connection(reservation)
            self._reservation = None
            return
        if reservation is not None and refusal.kind in _CONNECTION_FAILURES:
            self._dispatcher.handle_connect_failure(reservation)
            self._reservation = None
            return
        self._end(outcome_of(refusal))

    def _end(self, outcome: decisions.Outcome) -> None:
        if self._reservation is not None:
            self._reservation.end(outcome)
            self._reservation = None

    def _observe(
        self, model: str, version: str, outcome: decisions.Outcome
    ) -> None:
        self.components.decisions.version_judge.observe(
            decisions.Observation(model, version, self.kind.name, outcome)
        )
