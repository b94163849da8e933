"""Calls of plain services: idempotent calls and at-most-once calls."""

import urllib.parse
import uuid
from collections.abc import Callable, Mapping

import werkzeug

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_rules as rules
import mulberry_state as state
import mulberry_upstream as upstream
from mulberry_entry import _components, _dispatch, _hedging, _requests, _work

#: Covers an election, which takes up to 2 s after the loss of a leader.
_CLAIM_TIMEOUT_S = 2.0
_MIN_SETTLE_TIMEOUT_S = 1.0
_MAX_ATTEMPTS = 3

#: Tokens charged to the team's limit for a call.
_CALL_TOKENS = 0

_OUTCOME_BY_KIND: Mapping[core.ErrorKind, decisions.Outcome] = {
    core.ErrorKind.UPSTREAM_REFUSED: decisions.Outcome.REFUSED,
    core.ErrorKind.ANSWER_INCOMPLETE: decisions.Outcome.TRUNCATED,
    core.ErrorKind.DEADLINE_EXCEEDED: decisions.Outcome.LATE,
    core.ErrorKind.CALLER_GONE: decisions.Outcome.CANCELED,
}

_RETRYABLE = frozenset(
    {
        core.ErrorKind.UPSTREAM_REFUSED,
        core.ErrorKind.UPSTREAM_FAILED,
        core.ErrorKind.ANSWER_INCOMPLETE,
    }
)

#: Request headers that are forwarded to the service.
_FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language", "If-Match")

#: Response headers that are returned to the caller.
_RETURNED_HEADERS = ("etag", "location", "cache-control", "last-modified")


class ServiceCall:
    """One call and the state shared by all attempts to send it."""

    def __init__(
        self,
        request: _requests.CallerRequest,
        service: str,
        method: str,
        path: str,
        kind: rules.Kind,
        headers: tuple[str, ...],
        is_abandoned: Callable[[], bool],
    ) -> None:
        self.request = request
        self.service = service
        self.method = method
        #: Path below the service, with the query string.
        self.path = path
        self.kind = kind
        self.headers = headers
        self.is_abandoned = is_abandoned
        self.record = upstream.SendRecord()
        #: Names of the upstreams that the call was sent to.
        self.tried_upstreams: set[str] = set()
        content = f"{method} {service} {path}\n".encode() + request.body
        self.work = _work.call_work(request, kind, content)
        #: Covers method, service, path and body, so that reusing the key
        #: for a different call is an error.
        self.digest = core.digest128(content)


class CallHandler:
    """Answers `/services/SERVICE/…`."""

    def __init__(
        self,
        components: _components.EntryComponents,
        dispatcher: _dispatch.Dispatcher,
    ) -> None:
        self._components = components
        self._dispatcher = dispatcher
        self._hedger = _hedging.Hedger(
            components.decisions.hedge_policy, components.decisions.retry_budget
        )

    def handle(
        self,
        request: _requests.CallerRequest,
        http: werkzeug.Request,
        service: str,
        path: str,
        in_force: rules.Rules,
        is_abandoned: Callable[[], bool],
    ) -> werkzeug.Response | core.Refusal:
        """Returns the service's answer, or that recorded by an earlier run."""
        refusal = check_allowed(in_force, request.team, service)
        if isinstance(refusal, core.Refusal):
            return refusal
        service_path = "/" + urllib.parse.quote(path, safe="/:@!$&'()*+,;=~-._")
        kind = _work.call_kind(in_force, service, http.method, service_path)
        query = http.environ.get("QUERY_STRING", "")
        call = ServiceCall(
            request,
            service,
            http.method,
            f"{service_path}?{query}" if query else service_path,
            kind,
            tuple(
                f"{name}: {http.headers[name]}"
                for name in _FORWARDED_HEADERS
                if name in http.headers
            ),
            is_abandoned,
        )
        return self._admit_and_run(call)

    def _admit_and_run(
        self, call: ServiceCall
    ) -> werkzeug.Response | core.Refusal:
        policies = self._components.decisions
        token_reservation = policies.team_limiter.take(
            call.work.team, _CALL_TOKENS
        )
        if isinstance(token_reservation, core.Refusal):
            return token_reservation
        ticket = policies.admission.enter(call.work)
        if isinstance(ticket, core.Refusal):
            return ticket
        policies.retry_budget.request_started(call.work)
        outcome = decisions.Outcome.FAILED
        try:
            run = (
                self._run_idempotent if call.kind.idempotent else self._run_once
            )
            answer = run(call)
            if not isinstance(answer, core.Refusal):
                outcome = decisions.Outcome.COMPLETED
            return answer
        finally:
            ticket.release(outcome)

    def _run_idempotent(
        self, call: ServiceCall
    ) -> werkzeug.Response | core.Refusal:
        answer = self._hedger.run(
            call.work,
            self._components.clock,
            lambda is_answered: self._send_with_retries(call, is_answered),
        )
        if isinstance(answer, core.Refusal):
            return answer
        billed = self._components.biller.bill(
            self._bill(call),
            max(_MIN_SETTLE_TIMEOUT_S, self._remaining_s(call)),
        )
        if isinstance(billed, core.Refusal):
            return billed
        return _answer_response(call, answer)

    def _run_once(self, call: ServiceCall) -> werkzeug.Response | core.Refusal:
        """Claims the call, sends it and then settles or releases the claim."""
        claimed = self._claim(call)
        if not isinstance(claimed, state.ClaimGranted):
            return claimed
        answer = self._send_with_retries(call, lambda: False)
        if isinstance(answer, core.Refusal):
            if call.record.run is core.RunState.NOT_RUN:
                self._components.biller.release(_release_command(call))
            return answer
        settled = self._components.biller.settle(
            self._settle_command(call, answer),
            max(_MIN_SETTLE_TIMEOUT_S, self._remaining_s(call)),
        )
        if isinstance(settled, core.Refusal):
            return settled
        return _answer_response(call, answer)

    def _claim(
        self, call: ServiceCall
    ) -> state.ClaimGranted | werkzeug.Response | core.Refusal:
        result = self._components.state.propose(
            state.ClaimCall(
                uuid.uuid4().hex,
                call.request.team,
                call.request.key,
                call.digest,
                call.kind.name,
                call.request.request_id,
                self._components.instance,
            ),
            min(_CLAIM_TIMEOUT_S, max(0.0, self._remaining_s(call))),
        )
        if isinstance(result, core.Refusal):
            # Nothing was sent, but the claim may still be committed later. It
            # is released so that the key can be used again.
            self._components.biller.release_later(_release_command(call))
        return _claim_answer(call, result)

    def _send_with_retries(
        self, call: ServiceCall, is_answered: Callable[[], bool]
    ) -> upstream.ServiceAnswer | core.Refusal:
        failure: core.Refusal | core.Missing = core.Missing.UNSET
        for _ in range(_MAX_ATTEMPTS):
            reservation = self._dispatcher.reserve(
                call.work,
                _dispatch.Destination(call.request.team, call.service, ""),
                call.record.run,
                frozenset(call.tried_upstreams),
            )
            if isinstance(reservation, core.Refusal):
                if isinstance(failure, core.Missing):
                    return reservation
                self._components.decisions.retry_budget.return_retry(call.work)
                return failure
            call.tried_upstreams.add(reservation.chosen.name)
            answer = self._send(call, reservation, is_answered)
            if not isinstance(answer, core.Refusal):
                return answer
            failure = answer
            if is_answered() or not self._may_retry(call, answer):
                break
        assert isinstance(failure, core.Refusal)
        return failure

    def _send(
        self,
        call: ServiceCall,
        reservation: _dispatch.Reservation,
        is_answered: Callable[[], bool],
    ) -> upstream.ServiceAnswer | core.Refusal:
        remaining_s = max(0.0, self._remaining_s(call))
        answer = self._components.service.call(
            upstream.ServiceRequest(
                permit=reservation.permit,
                record=call.record,
                request_id=call.request.request_id,
                method=call.method,
                path=call.path,
                headers=call.headers,
                body=call.request.body,
                limits=upstream.ExchangeLimits(
                    total_s=remaining_s, first_byte_s=remaining_s
                ),
                idempotency_key=""
                if isinstance(call.request.idempotency_key, core.Missing)
                else call.request.idempotency_key,
                # An at-most-once call continues without its caller, so that
                # its answer is recorded for a repeated request.
                is_abandoned=lambda: (
                    call.kind.idempotent
                    and (is_answered() or call.is_abandoned())
                ),
            )
        )
        if not isinstance(answer, core.Refusal):
            reservation.end(decisions.Outcome.COMPLETED)
        elif (
            answer.kind is core.ErrorKind.UPSTREAM_FAILED
            and answer.run is not core.RunState.NOT_RUN
        ):
            self._dispatcher.handle_broken_connection(reservation)
        else:
            reservation.end(
                _OUTCOME_BY_KIND.get(answer.kind, decisions.Outcome.FAILED)
            )
        return answer

    def _may_retry(self, call: ServiceCall, refusal: core.Refusal) -> bool:
        return (
            refusal.kind in _RETRYABLE
            and self._remaining_s(call) > 0
            and self._components.decisions.retry_budget.try_retry(
                call.work, refusal.run
            )
        )

    def _remaining_s(self, call: ServiceCall) -> float:
        return call.work.deadline_at_s - self._components.clock.now()

    def _bill(self, call: ServiceCall) -> state.Bill:
        return state.Bill(
            team=call.request.team,
            key=call.request.key,
            request_id=call.request.request_id,
            kind=call.kind.name,
            model=call.service,
            version="",
            tokens_in=0,
            tokens_out=0,
            cost=0.0,
            body_digest=call.digest,
        )

    def _settle_command(
        self, call: ServiceCall, answer: upstream.ServiceAnswer
    ) -> state.SettleClaim:
        kept = len(answer.body) <= self._components.limits.max_kept_answer_bytes
        return state.SettleClaim(
            uuid.uuid4().hex,
            call.request.team,
            call.request.key,
            call.request.request_id,
            state.Answer(
                answer.status,
                answer.content_type,
                answer.body if kept else b"",
                kept,
            ),
            self._bill(call),
        )


def _release_command(call: ServiceCall) -> state.ReleaseClaim:
    return state.ReleaseClaim(
        uuid.uuid4().hex,
        call.request.team,
        call.request.key,
        call.request.request_id,
    )


def check_allowed(
    in_force: rules.Rules, team: str, service: str
) -> core.Refusal | core.Missing:
    """Refuses a service that is unknown or not allowed to the team."""
    if service not in in_force.services_by_name:
        return core.Refusal(
            core.ErrorKind.UNKNOWN_SERVICE,
            core.RunState.NOT_RUN,
            f"no service {service!r}",
        )
    if not in_force.allows_service(team, service):
        return core.Refusal(
            core.ErrorKind.NOT_ALLOWED,
            core.RunState.NOT_RUN,
            f"team {team} may not use {service}",
        )
    return core.Missing.UNSET


def _claim_answer(
    call: ServiceCall, result: state.Result | core.Refusal
) -> state.ClaimGranted | werkzeug.Response | core.Refusal:
    if isinstance(result, state.ClaimGranted | core.Refusal):
        return result
    if isinstance(result, state.ClaimMismatch):
        return core.Refusal(
            core.ErrorKind.IDEMPOTENCY_KEY_REUSED,
            core.RunState.NOT_RUN,
            f"key {call.request.key} was already used for another call",
        )
    if isinstance(result, state.ClaimOpen):
        return core.Refusal(
            core.ErrorKind.CLAIM_OPEN,
            core.RunState.UNKNOWN,
            f"request {result.request_id} on {result.entry} holds the claim",
        )
    if isinstance(result, state.ClaimRecorded):
        return _replayed_response(call, result)
    return core.Refusal(
        core.ErrorKind.INTERNAL,
        core.RunState.NOT_RUN,
        f"unexpected result {result}",
    )


def _replayed_response(
    call: ServiceCall, result: state.ClaimRecorded
) -> werkzeug.Response | core.Refusal:
    answer = result.answer
    if not answer.kept:
        return core.Refusal(
            core.ErrorKind.ANSWER_NOT_KEPT,
            core.RunState.RAN,
            f"request {result.request_id} has run",
        )
    return werkzeug.Response(
        answer.body,
        answer.status,
        {
            "X-Request-Id": call.request.request_id,
            "X-Mulberry-Replayed": result.request_id,
        },
        content_type=answer.content_type,
    )


def _answer_response(
    call: ServiceCall, answer: upstream.ServiceAnswer
) -> werkzeug.Response:
    headers = {"X-Request-Id": call.request.request_id}
    for name in _RETURNED_HEADERS:
        if name in answer.header_by_name:
            headers[name] = answer.header_by_name[name]
    return werkzeug.Response(
        answer.body, answer.status, headers, content_type=answer.content_type
    )
