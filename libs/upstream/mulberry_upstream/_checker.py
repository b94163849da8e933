"""Validates that an answer is complete and belongs to its request (P5)."""

import dataclasses
import enum
import json
from collections.abc import Sequence
from typing import Any

import mulberry_core as core
from mulberry_upstream import _template

_DONE = b"[DONE]"
#: Limit on attempts to derive a template. Engines that change more than the
#: text from chunk to chunk have no template.
_MAX_TEMPLATE_ATTEMPTS = 8
#: Data of an event without a data field, for example a comment.
_NO_DATA = b""
#: Token counts above count as absent. The cost of more tokens at the highest
#: price that rules may name is beyond what a bill can hold.
_MAX_TOKENS = 10**9


class Verdict(enum.Enum):
    """What to do with an event that has passed the checks."""

    #: Forward it now.
    PASS = "pass"
    #: Part of the end of the answer; forward it after the bill is committed.
    HOLD = "hold"
    #: Already forwarded during an earlier run; discard it.
    DROP = "drop"


@dataclasses.dataclass(frozen=True)
class Fault:
    """Why an answer was rejected."""

    kind: core.ErrorKind
    reason: str


@dataclasses.dataclass(frozen=True)
class Usage:
    """Token counts of an answer."""

    tokens_in: int
    tokens_out: int


def _incomplete(reason: str) -> Fault:
    return Fault(core.ErrorKind.ANSWER_INCOMPLETE, reason)


class AnswerChecker:
    """Validates one streamed answer event by event.

    Verifies the id of every chunk, the sequence numbers of numbered events
    (SSE field `id`, from 1), that only usage follows a finish reason, and the
    final `[DONE]`. Everything from the first finish reason on is held, so
    that the caller cannot treat the answer as complete before it is billed.

    Without event numbers, a repeated chunk is detected only if the answer has
    more chunks than tokens, and a lost chunk is not detected.
    """

    def __init__(self, request_id: str, forwarded: Sequence[str] = ()) -> None:
        """Creates a checker.

        Args:
            request_id: Required suffix of the id of every chunk.
            forwarded: Contents of the chunks that an earlier run of the same
                request has forwarded; this run must repeat them, and they are
                dropped.
        """
        self._request_id = request_id
        self._earlier_chunks = forwarded
        self._contents: list[str] = []
        self._texts: list[str] = []
        self._held: list[bytes] = []
        self._forwarded_count = 0
        self._numbered = False
        self._finish_by_index: dict[int, str] = {}
        self._unfinished_indexes: set[int] = set()
        self._usage: Usage | core.Missing = core.Missing.UNSET
        self._done = False
        self._template_attempts = 0
        self._template: _template.ChunkTemplate | core.Missing = (
            core.Missing.UNSET
        )

    @property
    def request_id(self) -> str:
        """Required suffix of the chunk ids."""
        return self._request_id

    @property
    def chunks(self) -> int:
        """Number of chunks accepted, including held and dropped ones."""
        return len(self._contents)

    @property
    def done(self) -> bool:
        """Whether the answer has ended and passed every check."""
        return self._done

    @property
    def tail(self) -> bytes:
        """The held events at the end of the answer."""
        return b"".join(self._held)

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self._texts)

    @property
    def finish_reason(self) -> str:
        """The finish reason of the first choice; empty until it arrives."""
        return self._finish_by_index.get(0, "")

    @property
    def usage(self) -> Usage:
        """Usage reported by the engine, or else the number of text chunks."""
        if isinstance(self._usage, Usage):
            return self._usage
        return Usage(0, sum(1 for text in self._texts if text))

    def for_rerun(self) -> "AnswerChecker":
        """Returns a checker for a rerun of the request from the start."""
        if self._forwarded_count < len(self._earlier_chunks):
            # Cut while repeating earlier chunks: no new chunk was forwarded.
            return AnswerChecker(self._request_id, self._earlier_chunks)
        return AnswerChecker(
            self._request_id, tuple(self._contents[: self._forwarded_count])
        )

    def accept(self, event: bytes) -> Verdict | Fault:
        """Validates the next whole event."""
        template = self._template
        if not isinstance(template, core.Missing) and not self._finish_by_index:
            text = template.extract_text(event, len(self._contents) + 1)
            if text:
                self._texts.append(text)
                return self._classify_chunk(event, text)
        return self._accept_parsed(event)

    def _accept_parsed(self, event: bytes) -> Verdict | Fault:
        number, data = _fields(event)
        if data == _NO_DATA:
            return self._classify_comment(event)
        if self._done:
            return _incomplete("the answer continues after [DONE]")
        if data == _DONE:
            return self._accept_done(event, number)
        return self._accept_chunk(event, number, data)

    def _classify_comment(self, event: bytes) -> Verdict:
        if self._held or self._done:
            self._held.append(event)
            return Verdict.HOLD
        if self.chunks < len(self._earlier_chunks):
            return Verdict.DROP
        return Verdict.PASS

    def _accept_chunk(
        self, event: bytes, number: bytes, data: bytes
    ) -> Verdict | Fault:
        fault = self._check_number(number)
        if fault:
            return fault
        try:
            chunk = json.loads(data)
        except (ValueError, RecursionError):
            return _incomplete(f"chunk {self.chunks + 1} is not valid JSON")
        if not isinstance(chunk, dict):
            return _incomplete(f"chunk {self.chunks + 1} is not an object")
        if "error" in chunk:
            return Fault(
                core.ErrorKind.UPSTREAM_FAILED,
                f"the engine reported an error: {str(chunk['error'])[:200]}",
            )
        chunk_id = chunk.get("id")
        if not isinstance(chunk_id, str) or not chunk_id.endswith(
            self._request_id
        ):
            return Fault(
                core.ErrorKind.ANSWER_MISMATCHED,
                f"chunk {self.chunks + 1} has the wrong id {chunk_id!r:.80}",
            )
        return self._accept_choices(event, chunk)

    def _check_number(self, number: bytes) -> Fault | None:
        expected = self.chunks + 1
        found = core.parse_count(number.decode("latin-1"))
        if isinstance(found, core.Missing):
            if self._numbered:
                return _incomplete(f"event {expected} has no number")
            return None
        if not self._numbered and self._contents:
            return _incomplete(
                f"event {expected} has a number, earlier events have none"
            )
        self._numbered = True
        if found == expected:
            return None
        problem = "repeated" if found < expected else "out of order"
        return _incomplete(f"event {found} is {problem}; expected {expected}")

    def _accept_choices(
        self, event: bytes, chunk: dict[str, Any]
    ) -> Verdict | Fault:
        usage = chunk.get("usage")
        if isinstance(usage, dict):
            self._usage = _read_usage(usage)
        choices = chunk.get("choices")
        if not isinstance(choices, list):
            return _incomplete(f"chunk {self.chunks + 1} has no choices")
        if len(choices) == 1 and (text := _text_only(choices[0])):
            # Fast path for a chunk with only text of the first choice.
            if 0 in self._finish_by_index:
                return _incomplete("text follows the finish reason")
            self._unfinished_indexes.add(0)
            self._texts.append(text)
            self._derive_template(event)
            return self._classify_chunk(event, text)
        for choice in choices:
            fault = self._accept_choice(choice)
            if fault:
                return fault
        return self._classify_chunk(event, json.dumps(choices, sort_keys=True))

    def _derive_template(self, event: bytes) -> None:
        if self._template_attempts < _MAX_TEMPLATE_ATTEMPTS:
            self._template_attempts += 1
            self._template = _template.derive_template(
                event, self.chunks + 1, self._numbered
            )

    def _accept_choice(self, choice: Any) -> Fault | None:
        if not isinstance(choice, dict):
            return _incomplete(
                f"chunk {self.chunks + 1} has a malformed choice"
            )
        index = choice.get("index", 0)
        delta = choice.get("delta")
        if not isinstance(index, int) or not isinstance(delta, dict):
            return _incomplete(
                f"chunk {self.chunks + 1} has a malformed choice"
            )
        if index in self._finish_by_index:
            return _incomplete("a choice continues after its finish reason")
        self._unfinished_indexes.add(index)
        text = delta.get("content")
        if isinstance(text, str) and index == 0:
            self._texts.append(text)
        finish = choice.get("finish_reason")
        if isinstance(finish, str):
            self._finish_by_index[index] = finish
            self._unfinished_indexes.discard(index)
        return None

    def _classify_chunk(self, event: bytes, content: str) -> Verdict | Fault:
        index = len(self._contents)
        self._contents.append(content)
        if index < len(self._earlier_chunks):
            if self._earlier_chunks[index] != content:
                return _incomplete(
                    f"the second run differs from the first at chunk "
                    f"{index + 1}"
                )
            self._forwarded_count += 1
            return Verdict.DROP
        if self._finish_by_index:
            self._held.append(event)
            return Verdict.HOLD
        self._forwarded_count += 1
        return Verdict.PASS

    def _accept_done(self, event: bytes, number: bytes) -> Verdict | Fault:
        # [DONE] may be unnumbered even if the chunks are numbered.
        fault = self._check_number(number) if number else None
        if fault:
            return fault
        if not self._finish_by_index or self._unfinished_indexes:
            return _incomplete("the answer ends without a finish reason")
        if self.chunks < len(self._earlier_chunks):
            return _incomplete("the second run is shorter than the first")
        if isinstance(self._usage, Usage):
            counted = sum(1 for text in self._texts if text)
            if counted > self._usage.tokens_out:
                return _incomplete(
                    f"the answer has {counted} chunks of text but only "
                    f"{self._usage.tokens_out} tokens"
                )
        self._held.append(event)
        self._done = True
        return Verdict.HOLD


@dataclasses.dataclass(frozen=True)
class WholeAnswer:
    """A validated, non-streamed answer."""

    body: bytes
    text: str
    finish_reason: str
    usage: Usage


def check_whole_answer(body: bytes, request_id: str) -> WholeAnswer | Fault:
    """Validates a non-streamed chat completion.

    Checks the JSON, the id, the choices and their finish reasons.
    """
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        return _incomplete("the answer is not valid JSON")
    if not isinstance(answer, dict):
        return _incomplete("the answer is not an object")
    answer_id = answer.get("id")
    if not isinstance(answer_id, str) or not answer_id.endswith(request_id):
        return Fault(
            core.ErrorKind.ANSWER_MISMATCHED,
            f"the answer has the wrong id {answer_id!r:.80}",
        )
    return _check_choices(body, answer)


def _check_choices(body: bytes, answer: dict[str, Any]) -> WholeAnswer | Fault:
    choices = answer.get("choices")
    if not isinstance(choices, list) or not choices:
        return _incomplete("the answer has no choices")
    for choice in choices:
        if not isinstance(choice, dict) or not isinstance(
            choice.get("message"), dict
        ):
            return _incomplete("the answer has a choice without a message")
        if not isinstance(choice.get("finish_reason"), str):
            return _incomplete("the answer has no finish reason")
    text = choices[0]["message"].get("content")
    usage = answer.get("usage")
    return WholeAnswer(
        body,
        text if isinstance(text, str) else "",
        choices[0]["finish_reason"],
        _read_usage(usage) if isinstance(usage, dict) else Usage(0, 0),
    )


def _fields(event: bytes) -> tuple[bytes, bytes]:
    """Returns the `id` and the joined `data` fields of an event."""
    number = b""
    data = _NO_DATA
    for line in event.split(b"\n"):
        if line.startswith(b"data:"):
            value = line[5:].strip()
            data = value if data == _NO_DATA else data + b"\n" + value
        elif line.startswith(b"id:"):
            number = line[3:].strip()
    return number, data


def _text_only(choice: Any) -> str:
    """Returns the text of a choice that has only text, otherwise ''."""
    if not isinstance(choice, dict) or choice.get("finish_reason") is not None:
        return ""
    delta = choice.get("delta")
    if not isinstance(delta, dict) or len(delta) != 1:
        return ""
    if choice.get("index", 0) != 0:
        return ""
    text = delta.get("content")
    return text if isinstance(text, str) else ""


def _read_usage(usage: dict[str, Any]) -> Usage:
    def count(name: str) -> int:
        value = usage.get(name)
        if isinstance(value, int) and 0 <= value <= _MAX_TOKENS:
            return value
        return 0

    return Usage(count("prompt_tokens"), count("completion_tokens"))
