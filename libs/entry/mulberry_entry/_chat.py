"""Handler of chat completion requests."""

import dataclasses
import json
from collections.abc import Callable, Iterator

import werkzeug

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_rules as rules
import mulberry_upstream as upstream
from mulberry_entry import (
    _answer_stream,
    _chat_run,
    _components,
    _dispatch,
    _rater,
    _requests,
    _responses,
    _versions,
    _work,
)


@dataclasses.dataclass(frozen=True)
class ModelPlan:
    """The models that may answer a request."""

    #: Allowed models, cheapest first.
    options: tuple[decisions.ModelOption, ...]
    #: Quality target of the cascade, or of the model that the caller named.
    quality: float
    #: Whether the caller named a cascade.
    is_cascade: bool


@dataclasses.dataclass(frozen=True)
class CompletedAnswer:
    """A complete answer and the model version that gave it."""

    answer: upstream.ChatAnswer
    model: str
    version: str


class ChatHandler:
    """Answers `POST /v1/chat/completions`."""

    def __init__(
        self,
        components: _components.EntryComponents,
        dispatcher: _dispatch.Dispatcher,
    ) -> None:
        self._components = components
        self._dispatcher = dispatcher
        self._picker = _versions.VersionPicker(components)

    def handle(
        self,
        request: _requests.CallerRequest,
        in_force: rules.Rules,
        is_abandoned: Callable[[], bool],
    ) -> werkzeug.Response | core.Refusal:
        """Returns the response; a streamed body is produced afterwards."""
        chat = _work.parse_chat(request.body)
        if isinstance(chat, core.Refusal):
            return chat
        kind = _work.chat_kind(request, chat, in_force)
        if isinstance(kind, core.Refusal):
            return kind
        plan = plan_models(in_force, request.team, chat.requested_model)
        if isinstance(plan, core.Refusal):
            return plan
        work = _work.chat_work(request, chat, kind)
        return self._admit_and_run(
            request, chat, kind, work, plan, is_abandoned
        )

    def _admit_and_run(
        self,
        request: _requests.CallerRequest,
        chat: _work.Chat,
        kind: rules.Kind,
        work: decisions.Work,
        plan: ModelPlan,
        is_abandoned: Callable[[], bool],
    ) -> werkzeug.Response | core.Refusal:
        policies = self._components.decisions
        token_reservation = policies.team_limiter.take(
            work.team, work.expected_tokens
        )
        if isinstance(token_reservation, core.Refusal):
            return token_reservation
        ticket = policies.admission.enter(work)
        if isinstance(ticket, core.Refusal):
            policies.team_limiter.settle(token_reservation, 0)
            return ticket
        policies.retry_budget.request_started(work)
        run = _chat_run.ChatRun(
            self._components,
            self._dispatcher,
            request,
            chat,
            kind,
            work,
            is_abandoned,
        )

        def release(outcome: decisions.Outcome) -> None:
            policies.team_limiter.settle(token_reservation, run.tokens)
            ticket.release(outcome)

        try:
            if chat.stream and not plan.is_cascade:
                return self._stream(run, plan, release)
            completed = self._run_and_bill(run, plan)
        except BaseException:
            release(decisions.Outcome.FAILED)
            raise
        if isinstance(completed, core.Refusal):
            release(_chat_run.outcome_of(completed))
            return completed
        release(decisions.Outcome.COMPLETED)
        return _completed_response(run, completed)

    def _stream(
        self,
        run: _chat_run.ChatRun,
        plan: ModelPlan,
        release: Callable[[decisions.Outcome], None],
    ) -> werkzeug.Response | core.Refusal:
        model = plan.options[0].name
        version = self._picker.pick(run.request, run.work, model)
        opened: upstream.ResumingStream | core.Refusal
        if isinstance(version, core.Refusal):
            release(decisions.Outcome.REFUSED)
            return version
        opened = run.open_stream(model, version)
        if isinstance(opened, core.Refusal):
            release(_chat_run.outcome_of(opened))
            return opened
        events = _answer_stream.AnswerStream(
            run,
            opened,
            model,
            version,
            release,
            lambda text: self._queue_rating(run, text),
        )
        return _responses.stream_response(
            events, answer_headers(run, model, version)
        )

    def _run_and_bill(
        self, run: _chat_run.ChatRun, plan: ModelPlan
    ) -> CompletedAnswer | core.Refusal:
        completed = (
            self._cascade(run, plan)
            if plan.is_cascade
            else self._run_model(run, plan.options[0].name)
        )
        if isinstance(completed, core.Refusal):
            return completed
        billed = run.bill()
        if isinstance(billed, core.Refusal):
            return billed
        if not plan.is_cascade:
            self._queue_rating(run, completed.answer.text)
        return completed

    def _run_model(
        self, run: _chat_run.ChatRun, model: str
    ) -> CompletedAnswer | core.Refusal:
        version = self._picker.pick(run.request, run.work, model)
        if isinstance(version, core.Refusal):
            return dataclasses.replace(version, run=run.record.run)
        answer = run.fetch_answer(model, version)
        if isinstance(answer, core.Refusal):
            return answer
        return CompletedAnswer(answer, model, version)

    def _cascade(
        self, run: _chat_run.ChatRun, plan: ModelPlan
    ) -> CompletedAnswer | core.Refusal:
        chooser = self._components.decisions.model_chooser
        completed_by_model: dict[str, CompletedAnswer] = {}
        attempts: list[decisions.Attempt] = []
        last_failure: core.Refusal | core.Missing = core.Missing.UNSET
        step: decisions.TryModel | decisions.Deliver | core.Refusal
        step = chooser.first(run.work, plan.options, plan.quality)
        while isinstance(step, decisions.TryModel):
            completed = self._run_model(run, step.model)
            rating: float | core.Missing = core.Missing.UNSET
            if isinstance(completed, core.Refusal):
                last_failure = completed
            else:
                completed_by_model[step.model] = completed
                rating = self._rate(run, completed, plan.quality)
            attempts.append(
                decisions.Attempt(
                    step.model, rating, step.model in completed_by_model
                )
            )
            if run.remaining_s <= 0 and not completed_by_model:
                break
            step = chooser.next(run.work, plan.options, plan.quality, attempts)
        if isinstance(step, decisions.Deliver):
            return completed_by_model[step.model]
        if isinstance(last_failure, core.Refusal):
            return last_failure
        assert isinstance(step, core.Refusal)
        return dataclasses.replace(step, run=run.record.run)

    def _rate(
        self, run: _chat_run.ChatRun, completed: CompletedAnswer, quality: float
    ) -> float | core.Missing:
        timeout_s = min(_rater.RATING_TIMEOUT_S, run.remaining_s)
        rating: float | core.Missing = core.Missing.UNSET
        if timeout_s > 0:
            rating = self._components.rater.rate(
                run.chat.prompt, completed.answer.text, timeout_s
            )
        policies = self._components.decisions
        if not isinstance(rating, core.Missing):
            policies.model_chooser.learn(
                run.work, completed.model, rating, quality
            )
        policies.version_judge.observe(run.completed_observation(rating))
        return rating

    def _queue_rating(self, run: _chat_run.ChatRun, text: str) -> None:
        observation = run.completed_observation(core.Missing.UNSET)
        self._components.ratings.submit(observation, run.chat.prompt, text)


def plan_models(
    in_force: rules.Rules, team: str, requested_model: str
) -> ModelPlan | core.Refusal:
    """Returns the allowed models for a model or cascade, cheapest first."""
    cascade = in_force.cascades_by_name.get(requested_model)
    names = cascade.models if cascade else (requested_model,)
    if not cascade and requested_model not in in_force.models_by_name:
        return core.Refusal(
            core.ErrorKind.UNKNOWN_MODEL,
            core.RunState.NOT_RUN,
            f"no model or cascade {requested_model!r}",
        )
    options = tuple(
        decisions.ModelOption(name, model.cost_per_1k_tokens, model.quality)
        for name in names
        if (model := in_force.models_by_name.get(name))
        and _allows_any_version(in_force, team, name)
    )
    if not options:
        return core.Refusal(
            core.ErrorKind.NOT_ALLOWED,
            core.RunState.NOT_RUN,
            f"team {team} may not use {requested_model}",
        )
    quality = cascade.quality if cascade else options[0].quality
    return ModelPlan(options, quality, cascade is not None)


def answer_headers(
    run: _chat_run.ChatRun, model: str, version: str
) -> dict[str, str]:
    """Returns the headers that identify the request, model and version."""
    return {
        "X-Request-Id": run.request.request_id,
        "X-Mulberry-Model": model,
        "X-Mulberry-Version": version,
    }


def _allows_any_version(in_force: rules.Rules, team: str, model: str) -> bool:
    return any(
        in_force.allows(team, model, declared.version)
        for declared in in_force.versions_by_model.get(model, ())
    )


def _completed_response(
    run: _chat_run.ChatRun, completed: CompletedAnswer
) -> werkzeug.Response:
    headers = answer_headers(run, completed.model, completed.version)
    if run.chat.stream:
        return _responses.stream_response(
            _stream_events(completed.answer), headers
        )
    return werkzeug.Response(
        completed.answer.body,
        200,
        headers,
        content_type=completed.answer.content_type,
    )


def _stream_events(answer: upstream.ChatAnswer) -> Iterator[bytes]:
    """Converts a complete answer into streaming events."""
    content = json.loads(answer.body)
    base = {
        key: content[key]
        for key in ("id", "created", "model")
        if key in content
    }
    base["object"] = "chat.completion.chunk"
    deltas: tuple[tuple[dict[str, str], str | None], ...] = (
        ({"role": "assistant", "content": answer.text}, None),
        ({}, answer.finish_reason),
    )
    for delta, finish_reason in deltas:
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        event = json.dumps({**base, "choices": [choice]})
        yield f"data: {event}\n\n".encode()
    yield b"data: [DONE]\n\n"
