"""What differs between the protocols that callers and upstreams speak."""

import abc
import dataclasses
from collections.abc import Sequence

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _messages


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, which other requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What a request says of itself."""

    request_id: str
    #: Key of the team; empty for none.
    key: str
    #: How long the caller waits from the sending, seconds.
    caller_timeout_s: float
    #: In the order of the prompt; empty for plain calls.
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    #: Most tokens that the answer may have.
    max_output_tokens: int = 0
    #: Whether the router names the model.
    router_selects_model: bool = False
    #: Id of the last event that the caller has; empty for none.
    last_event_id: str = ""

    @property
    def session(self) -> str:
        """Id of the last part that the request shares; empty for none.

        The last part of a prompt belongs to the request alone.
        """
        return self.prompt[-2].id if len(self.prompt) > 1 else ""


@dataclasses.dataclass(frozen=True)
class ForwardingMetadata:
    """What the router tells the upstream."""

    upstream: str
    #: Time that is left, seconds.
    left_s: float
    #: Name of the team; empty for none.
    team: str
    #: Model that the router chose; empty for the caller's.
    model: str = ""
    #: The answer goes on after this event; empty for all of it.
    last_event_id: str = ""
    #: 0 is the most urgent; unset for the upstream's default.
    urgency: int | core.Missing = core.Missing.UNSET


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """What the head of a response says."""

    #: Whether the upstream states that it has not run the request.
    not_run: bool
    #: Whether another upstream is at the address.
    is_other_upstream: bool
    #: Whether it is the upstream's own answer to this request.
    is_genuine: bool
    load: decisions.LoadReport | core.Missing = core.Missing.UNSET
    #: The model's own opinion of the answer, 0 to 1.
    confidence: float | core.Missing = core.Missing.UNSET
    #: Whether the upstream says that it is about to stop.
    is_leaving: bool = False
    #: How long the upstream wants no requests from this instance, seconds.
    retry_after_s: float = 0.0


class Dialect(abc.ABC):
    """Translates the headers of one protocol; decides nothing."""

    @abc.abstractmethod
    def parse_request(
        self, request: _messages.Request
    ) -> RequestMetadata | core.Refusal:
        """Returns what the request says, or why it cannot be read."""

    @abc.abstractmethod
    def upstream_request_headers(
        self, request: _messages.Request, send: ForwardingMetadata
    ) -> list[_messages.Header]:
        """Returns the headers of the request to the upstream."""

    @abc.abstractmethod
    def parse_response(
        self, head: _messages.ResponseHead, request_id: str
    ) -> ResponseMetadata:
        """Returns what the head of a response says."""

    @abc.abstractmethod
    def caller_response_headers(
        self, head: _messages.ResponseHead
    ) -> Sequence[_messages.Header]:
        """Returns the headers that the caller gets."""

    @abc.abstractmethod
    def error_response(
        self, refusal: core.Refusal, request_id: str
    ) -> _messages.Response:
        """Returns the answer to a request that is given up."""
