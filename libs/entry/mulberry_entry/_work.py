"""Converts callers' requests into the work that decisions apply to."""

import dataclasses
import json
from typing import Annotated, Any

import pydantic

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_rules as rules
from mulberry_entry import _requests

#: Expected answer tokens if the request does not limit them.
_DEFAULT_ANSWER_TOKENS = 256

#: Approximate bytes per prompt token, for limits before the count is known.
_BYTES_PER_TOKEN = 4

#: Prefixes of the body are digested in steps of this size, to select an
#: upstream that may have them cached.
_PREFIX_BLOCK_BYTES = 2048
_MAX_PREFIX_BLOCKS = 16
#: Maximum number of shared parts of a chat, the first ones; bounds what is
#: recorded of a long conversation when an upstream is lost.
_MAX_SHARED_PARTS = 8

#: Deadline of calls that match no kind in the rules, seconds.
_DEFAULT_CALL_DEADLINE_S = 10.0

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class _Message(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow")

    role: Annotated[str, pydantic.StringConstraints(max_length=64)]
    content: str | list[Any] | None = None


class _ChatBody(pydantic.BaseModel):
    """The fields of a chat request that the router reads."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: Annotated[
        str, pydantic.StringConstraints(min_length=1, max_length=200)
    ]
    messages: Annotated[list[_Message], pydantic.Field(min_length=1)]
    stream: bool = False
    max_tokens: Annotated[int, pydantic.Field(ge=1)] | None = None


@dataclasses.dataclass(frozen=True)
class Chat:
    """A valid chat request."""

    #: Name of a model or cascade.
    requested_model: str
    stream: bool
    #: Text of the last message, for the rating service.
    prompt: str
    expected_tokens: int
    #: The whole body as a JSON object.
    content: dict[str, Any]

    def body_for(self, model: str, stream: bool, original: bytes) -> bytes:
        """Returns the body to send to an engine, unchanged if possible."""
        if model == self.requested_model and stream == self.stream:
            return original
        changed = {**self.content, "model": model, "stream": stream}
        if not stream:
            changed.pop("stream_options", None)
        return json.dumps(changed).encode()


def parse_chat(body: bytes) -> Chat | core.Refusal:
    """Parses and validates the body of a chat request."""
    try:
        parsed = _ChatBody.model_validate_json(body)
        content = json.loads(body)
    except (pydantic.ValidationError, ValueError, RecursionError) as error:
        return core.Refusal(
            core.ErrorKind.BAD_REQUEST,
            core.RunState.NOT_RUN,
            _error_text(error),
        )
    answer_tokens = parsed.max_tokens or _DEFAULT_ANSWER_TOKENS
    return Chat(
        requested_model=parsed.model,
        stream=parsed.stream,
        prompt=_message_text(parsed.messages[-1]),
        expected_tokens=len(body) // _BYTES_PER_TOKEN + answer_tokens,
        content=content,
    )


def chat_work(
    request: _requests.CallerRequest, chat: Chat, kind: rules.Kind
) -> decisions.Work:
    """Returns the work of a chat request."""
    return decisions.Work(
        team=request.team,
        kind=kind.name,
        priority=kind.priority,
        deadline_at_s=request.arrived_s + _deadline_s(request, kind),
        session=request.session,
        content=request.body_digest,
        prefixes=_prefix_digests(request.body),
        shared_parts=_shared_part_digests(chat),
        expected_tokens=chat.expected_tokens,
        is_idempotent=True,
        is_call=False,
    )


def call_work(
    request: _requests.CallerRequest, kind: rules.Kind, content: bytes
) -> decisions.Work:
    """Returns the work of a call of a plain service."""
    return decisions.Work(
        team=request.team,
        kind=kind.name,
        priority=kind.priority,
        deadline_at_s=request.arrived_s + _deadline_s(request, kind),
        session=request.session,
        content=core.digest128(content),
        is_idempotent=kind.idempotent,
        is_call=True,
    )


def chat_kind(
    request: _requests.CallerRequest, chat: Chat, in_force: rules.Rules
) -> rules.Kind | core.Refusal:
    """Returns the kind that the caller named, or that of its model."""
    if isinstance(request.kind_name, core.Missing):
        return in_force.kind_for_chat(chat.requested_model)
    kind = in_force.kinds_by_name.get(request.kind_name)
    if kind is None or not isinstance(kind.target, rules.ChatTarget):
        return core.Refusal(
            core.ErrorKind.BAD_REQUEST,
            core.RunState.NOT_RUN,
            f"the rules define no chat kind {request.kind_name!r}",
        )
    return kind


def call_kind(
    in_force: rules.Rules, service: str, method: str, path: str
) -> rules.Kind:
    """Returns the kind of a call.

    A call that matches no kind in the rules is not idempotent unless its HTTP
    method is safe: running it twice could do harm, refusing a repeat cannot.
    """
    kind = in_force.kind_for_call(service, method, path)
    if not isinstance(kind, core.Missing):
        return kind
    return dataclasses.replace(
        rules.DEFAULT_KIND,
        target=rules.CallTarget(service, method, path),
        deadline_s=_DEFAULT_CALL_DEADLINE_S,
        idempotent=method in _SAFE_METHODS,
    )


def _deadline_s(request: _requests.CallerRequest, kind: rules.Kind) -> float:
    if isinstance(request.deadline_s, core.Missing):
        return kind.deadline_s
    return min(request.deadline_s, kind.deadline_s)


def _prefix_digests(body: bytes) -> tuple[str, ...]:
    blocks = min(len(body) // _PREFIX_BLOCK_BYTES, _MAX_PREFIX_BLOCKS)
    return tuple(
        core.digest128(body[: (index + 1) * _PREFIX_BLOCK_BYTES])
        for index in range(blocks)
    )


def _shared_part_digests(chat: Chat) -> tuple[str, ...]:
    """Returns the digests of all messages but the last."""
    shared = chat.content["messages"][:-1]
    return tuple(
        core.digest128(json.dumps(message, sort_keys=True).encode())
        for message in shared[:_MAX_SHARED_PARTS]
    )


def _message_text(message: _Message) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(
        str(part.get("text", ""))
        for part in message.content or []
        if isinstance(part, dict)
    )


def _error_text(error: Exception) -> str:
    if not isinstance(error, pydantic.ValidationError):
        return str(error)
    first = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in first["loc"])
    return f"{location}: {first['msg']}" if location else str(first["msg"])
