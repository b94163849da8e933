"""Protocol-specific headers of callers and upstreams."""

import abc
import dataclasses
from collections.abc import Sequence

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _messages


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """Metadata of a caller's request, read from its headers."""

    request_id: str
    #: API key of the team; empty for none.
    key: str
    #: How long the caller waits after sending the request, seconds.
    caller_timeout_s: float
    #: Prompt parts in order; empty for calls without a prompt.
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    #: Maximum number of tokens in the answer.
    max_output_tokens: int = 0
    #: Whether the router selects the model.
    router_selects_model: bool = False
    #: Id of the last event that the caller received; empty for none.
    last_event_id: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Prompt parts that other requests may share.

        The last part of a prompt is specific to the request.
        """
        return self.prompt[:-1]

    @property
    def session(self) -> str:
        """Id of the last prompt part that is shared; empty for none."""
        shared = self.shared_parts
        return shared[-1].id if shared else ""


@dataclasses.dataclass(frozen=True)
class ForwardingMetadata:
    """Metadata that the router adds to a forwarded request."""

    upstream: str
    #: Time until the deadline, seconds.
    left_s: float
    #: Name of the team; empty for none.
    team: str
    #: Model that the router selected; empty to keep the caller's.
    model: str = ""
    #: Event after which the answer resumes; empty for the whole answer.
    last_event_id: str = ""
    #: 0 is the most urgent; unset for the upstream's default.
    urgency: int | core.Missing = core.Missing.UNSET


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """Metadata of an upstream's response, read from its headers."""

    #: Whether the upstream states that it has not run the request.
    not_run: bool
    #: Whether another upstream answered at the address.
    is_other_upstream: bool
    #: Whether the upstream produced the answer, and for this request.
    is_genuine: bool
    load: decisions.LoadReport | core.Missing = core.Missing.UNSET
    #: The model's confidence in its answer, 0 to 1.
    confidence: float | core.Missing = core.Missing.UNSET
    #: Whether the upstream announces that it is about to stop.
    is_leaving: bool = False
    #: How long this instance should send no requests to the upstream, seconds.
    retry_after_s: float = 0.0
    #: Number of requests that the upstream can reject in a second for lack of
    #: free slots without failing; unset for no limit.
    rejection_limit: int | core.Missing = core.Missing.UNSET
    #: Requests a second that the upstream takes from all instances together;
    #: unlimited if it names no rate, unset if the rate cannot be read.
    rate_per_s: float | core.Missing = core.Missing.UNLIMITED
    #: Seconds for which the upstream is still cold; 0 if it does not say so.
    cold_s: float = 0.0


class Dialect(abc.ABC):
    """Translates the headers of one protocol; makes no decisions."""

    @abc.abstractmethod
    def parse_request(
        self, request: _messages.Request
    ) -> RequestMetadata | core.Refusal:
        """Returns the metadata of a request, or why it is refused."""

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
        """Returns the headers to forward to the caller."""

    @abc.abstractmethod
    def error_response(
        self, refusal: core.Refusal, request_id: str
    ) -> _messages.Response:
        """Returns the error response for a refused or failed request."""
