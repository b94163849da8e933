"""Engine adapters: send chat requests and validate the answers."""

import abc
import dataclasses
import enum
from collections.abc import Callable, Iterator

import mulberry_core as core
from mulberry_upstream import (
    _checker,
    _exchange,
    _failures,
    _gate,
    _loop,
    _send_record,
    _transfer,
)

#: Maximum size of an event, bytes; a longer one is rejected as malformed.
_MAX_EVENT_BYTES = 1_048_576


def _never() -> bool:
    return False


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """One attempt to send a chat request to an upstream."""

    #: Issued by the gate for this attempt; contains the upstream.
    permit: _gate.SendPermit
    #: All attempts to send the request.
    record: _send_record.SendRecord
    request_id: str
    #: Body as sent to the engine.
    body: bytes
    limits: _exchange.ExchangeLimits
    #: Idempotency key of the caller; empty if there is none.
    idempotency_key: str = ""
    #: Sent to the engine; 1 is the highest priority.
    priority: int = 2
    #: Number of chunks received before, to resume on the same upstream.
    resume_from: int = 0
    #: Checker of an earlier attempt to continue; unset for a new answer.
    checker: _checker.AnswerChecker | core.Missing = core.Missing.UNSET
    #: Whether the caller has disconnected; polled at least every 250 ms.
    is_abandoned: Callable[[], bool] = _never


class Recovery(enum.Enum):
    """How an incomplete answer can be recovered."""

    #: No recovery: the answer is complete, the caller has disconnected, the
    #: deadline has passed or the answer exceeds its size limit.
    NONE = "none"
    #: Resume on the same upstream, or rerun on another.
    RESUME = "resume"
    #: Rerun on another upstream only.
    RERUN = "rerun"


@dataclasses.dataclass(frozen=True)
class ChatOutcome:
    """How a streamed answer ended."""

    #: Unset if the answer is complete.
    refusal: core.Refusal | core.Missing
    recovery: Recovery
    #: Events of a complete answer from its finish reason on; forwarded only
    #: after the bill is committed.
    tail: bytes
    text: str
    finish_reason: str
    tokens_in: int
    tokens_out: int
    chunks: int

    @property
    def complete(self) -> bool:
        """Whether every check of the answer passed."""
        return isinstance(self.refusal, core.Missing)


@dataclasses.dataclass(frozen=True)
class ChatAnswer:
    """A validated, non-streamed answer."""

    body: bytes
    content_type: str
    text: str
    finish_reason: str
    tokens_in: int
    tokens_out: int


class ChatStream(abc.ABC):
    """Iterator over blocks of whole events, as received.

    Events from the finish reason on are not part of the iteration: they are in
    `outcome.tail` once every check has passed.
    """

    def __iter__(self) -> Iterator[bytes]:
        """Returns itself."""
        return self

    @abc.abstractmethod
    def __next__(self) -> bytes:
        """Returns the next block that may be forwarded."""

    def forward(self, write: Callable[[bytes], bool]) -> bool:
        """Passes all blocks to `write` until the end of the stream.

        This takes less CPU than iterating. `write` may be called on another
        thread and must not block; it returns false to stop forwarding, for
        example because the caller reads slowly.

        Returns:
            True at the end of the stream. False if `write` returned false;
            the caller then iterates or calls `forward` again.
        """
        return all(write(block) for block in self)

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the stream and its run on the engine, from any thread."""

    @property
    @abc.abstractmethod
    def outcome(self) -> ChatOutcome:
        """How the stream ended; raises `RuntimeError` before the end."""

    @property
    @abc.abstractmethod
    def checker(self) -> _checker.AnswerChecker:
        """The checker of the current attempt."""


class EngineAdapter(abc.ABC):
    """Client for the protocol of one kind of engine."""

    @abc.abstractmethod
    def open_chat(self, request: ChatRequest) -> ChatStream | core.Refusal:
        """Requests a streamed answer and waits for the response headers."""

    @abc.abstractmethod
    def chat(self, request: ChatRequest) -> ChatAnswer | core.Refusal:
        """Requests a non-streamed answer and validates it."""


class ChatEngineAdapter(EngineAdapter):
    """Adapter for the chat completions protocol over HTTP/1.1."""

    _PATH = "/v1/chat/completions"

    def __init__(self, pool: _transfer.HandlePool) -> None:
        self._pool = pool

    def open_chat(self, request: ChatRequest) -> ChatStream | core.Refusal:
        """See `EngineAdapter`."""
        http = self._redeem_permit(request)
        if isinstance(http, core.Refusal):
            return http
        attempt = request.record.begin(request.permit.upstream.name)
        transfer = _loop.LoopTransfer(
            self._pool.stream_loop(),
            http,
            request.limits,
            request.is_abandoned,
        )
        initial_data = b""
        while not transfer.status and transfer.end is None:
            initial_data = transfer.step()
        if transfer.status == 200:
            return _EventStream(request, transfer, attempt, initial_data)
        return _refuse_status(request, transfer, attempt, initial_data)

    def chat(self, request: ChatRequest) -> ChatAnswer | core.Refusal:
        """See `EngineAdapter`."""
        http = self._redeem_permit(request)
        if isinstance(http, core.Refusal):
            return http
        attempt = request.record.begin(request.permit.upstream.name)
        transfer = _transfer.Transfer(
            self._pool, http, request.limits, request.is_abandoned
        )
        body = _exchange.read_rest(transfer)
        if transfer.status != 200 or transfer.end is not _exchange.End.COMPLETE:
            return _failures.refuse(request.record, attempt, transfer, body)
        checked = _checker.check_whole_answer(body, request.request_id)
        if isinstance(checked, _checker.Fault):
            return request.record.refuse(checked.kind, checked.reason)
        attempt.settle(_send_record.AttemptState.ANSWERED)
        return ChatAnswer(
            checked.body,
            transfer.header_by_name.get("content-type", "application/json"),
            checked.text,
            checked.finish_reason,
            checked.usage.tokens_in,
            checked.usage.tokens_out,
        )

    def _redeem_permit(
        self, request: ChatRequest
    ) -> _exchange.HttpRequest | core.Refusal:
        """Redeems the permit and returns the HTTP request to send."""
        permit = request.permit
        headers = _headers(request)
        if not _exchange.are_valid_header_lines(headers):
            return request.record.refuse(
                core.ErrorKind.BAD_REQUEST, "a header has control characters"
            )
        if not permit.redeem():
            return request.record.refuse(
                core.ErrorKind.INTERNAL, "the send permit is no longer valid"
            )
        return _exchange.HttpRequest(
            address=permit.upstream.address,
            method="POST",
            path=self._PATH,
            headers=headers,
            body=request.body,
            may_reuse=True,
        )


def _headers(request: ChatRequest) -> list[str]:
    headers = [
        "Content-Type: application/json",
        "Accept: text/event-stream, application/json",
        f"X-Request-Id: {request.request_id}",
        f"X-Mulberry-Model: {request.permit.model}",
        f"X-Mulberry-Version: {request.permit.version}",
        f"X-Mulberry-Priority: {request.priority}",
    ]
    if request.idempotency_key:
        headers.append(f"Idempotency-Key: {request.idempotency_key}")
    if request.resume_from:
        headers.append(f"X-Resume-From: {request.resume_from}")
    return headers


def _refuse_status(
    request: ChatRequest,
    transfer: _exchange.Exchange,
    attempt: _send_record.SendAttempt,
    initial_data: bytes,
) -> core.Refusal:
    body = _exchange.read_rest(transfer, initial_data)
    return _failures.refuse(request.record, attempt, transfer, body)


class _EventStream(ChatStream):
    """The stream of one attempt."""

    def __init__(
        self,
        request: ChatRequest,
        transfer: _loop.LoopTransfer,
        attempt: _send_record.SendAttempt,
        initial_data: bytes,
    ) -> None:
        self._request = request
        self._transfer = transfer
        self._attempt = attempt
        self._initial_data = initial_data
        self._splitter = core.SseSplitter()
        self._outcome: ChatOutcome | None = None
        resumed_checker = request.checker
        self._checker = (
            resumed_checker
            if isinstance(resumed_checker, _checker.AnswerChecker)
            else _checker.AnswerChecker(request.request_id)
        )

    @property
    def checker(self) -> _checker.AnswerChecker:
        """See `ChatStream`."""
        return self._checker

    @property
    def outcome(self) -> ChatOutcome:
        """See `ChatStream`."""
        if self._outcome is None and self._transfer.end is not None:
            self._handle_transfer_end()
        if self._outcome is None:
            raise RuntimeError("the stream has not ended")
        return self._outcome

    def cancel(self) -> None:
        """See `ChatStream`."""
        self._initial_data = b""
        self._transfer.cancel()

    def __next__(self) -> bytes:
        """See `ChatStream`."""
        while self._outcome is None:
            data = self._initial_data or self._transfer.step()
            self._initial_data = b""
            if data:
                block = self._check(data)
                if block:
                    return block
            elif self._transfer.end is not None:
                self._handle_transfer_end()
        raise StopIteration

    def forward(self, write: Callable[[bytes], bool]) -> bool:
        """See `ChatStream`."""
        paused = False

        def sink(data: bytes) -> bool:
            nonlocal paused
            block = self._check(data)
            try:
                paused = bool(block) and not write(block)
            except OSError as error:
                self._fail(
                    _checker.Fault(core.ErrorKind.CALLER_GONE, str(error)),
                    Recovery.NONE,
                )
            return not paused and self._outcome is None

        if self._initial_data:
            initial_data, self._initial_data = self._initial_data, b""
            sink(initial_data)
        while self._outcome is None and not paused:
            self._transfer.feed(sink)
            if not paused and self._transfer.end is not None:
                self._handle_transfer_end()
        return self._outcome is not None and not paused

    def _check(self, data: bytes) -> bytes:
        """Checks `data` and returns the events that may be forwarded."""
        chunks = self._checker.chunks
        passed = self._check_events(data)
        if self._checker.chunks > chunks:
            self._transfer.note_progress()
        return passed

    def _check_events(self, data: bytes) -> bytes:
        events = self._splitter.feed(data)
        if len(events) == 1:
            # Fast path for the usual case of one whole event in one read.
            verdict = self._checker.accept(events[0])
            if verdict is _checker.Verdict.PASS:
                self._attempt.settle(_send_record.AttemptState.ANSWERED)
                return events[0]
            self._handle_unforwarded(verdict)
            return b""
        if self._splitter.pending_bytes > _MAX_EVENT_BYTES:
            self._handle_unforwarded(
                _checker.Fault(
                    core.ErrorKind.ANSWER_INCOMPLETE, "an event is too long"
                )
            )
        return self._check_all(events)

    def _check_all(self, events: list[bytes]) -> bytes:
        passed = []
        for event in events:
            if self._outcome is not None:
                break
            verdict = self._checker.accept(event)
            if verdict is _checker.Verdict.PASS:
                passed.append(event)
            else:
                self._handle_unforwarded(verdict)
        if self._checker.chunks:
            self._attempt.settle(_send_record.AttemptState.ANSWERED)
        return b"".join(passed)

    def _handle_unforwarded(
        self, verdict: _checker.Verdict | _checker.Fault
    ) -> None:
        """Handles the verdict on an event that is not forwarded now."""
        if self._checker.chunks:
            self._attempt.settle(_send_record.AttemptState.ANSWERED)
        if isinstance(verdict, _checker.Fault):
            self._fail(verdict, Recovery.RERUN)
        elif self._checker.done:
            self._complete()

    def _complete(self) -> None:
        self._transfer.drain()
        self._set_outcome(core.Missing.UNSET, Recovery.NONE, self._checker.tail)

    def _handle_transfer_end(self) -> None:
        fault = _failures.stream_fault(self._transfer)
        recoverable = self._transfer.end in _failures.RESUMABLE_ENDS
        self._fail(fault, Recovery.RESUME if recoverable else Recovery.NONE)

    def _fail(self, fault: _checker.Fault, recovery: Recovery) -> None:
        if self._outcome is None:
            self._transfer.cancel()
            refusal = self._request.record.refuse(fault.kind, fault.reason)
            self._set_outcome(refusal, recovery, b"")

    def _set_outcome(
        self,
        refusal: core.Refusal | core.Missing,
        recovery: Recovery,
        tail: bytes,
    ) -> None:
        usage = self._checker.usage
        self._outcome = ChatOutcome(
            refusal=refusal,
            recovery=recovery,
            tail=tail,
            text=self._checker.text,
            finish_reason=self._checker.finish_reason,
            tokens_in=usage.tokens_in,
            tokens_out=usage.tokens_out,
            chunks=self._checker.chunks,
        )
