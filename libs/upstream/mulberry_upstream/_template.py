"""Recognizes text chunks that differ from the last one in their text only.

Nearly all chunks of an answer are equal but for their number and a short
piece of text. Comparing the rest byte by byte is as strict as parsing it, and
it keeps the work for each token small: with a hundred streams each thread
wakes with cold caches, where parsing costs several times as much as it does
in a loop.
"""

import json

import mulberry_core as core

_CONTENT_KEY = b'"content":'
_SAMPLE = '"sample"'


class ChunkTemplate:
    """The bytes around the text of a chunk."""

    def __init__(self, prefix: bytes, suffix: bytes, numbered: bool) -> None:
        self._prefix = prefix
        self._suffix = suffix
        self._numbered = numbered

    def extract_text(self, event: bytes, number: int) -> str:
        """Returns the text of the chunk with this number.

        Returns '' if the event is anything else, or if its text needs a
        parser (escapes, control characters).
        """
        prefix = self._prefix
        if self._numbered:
            prefix = b"id: %d\n%s" % (number, prefix)
        if not event.startswith(prefix) or not event.endswith(self._suffix):
            return ""
        literal = event[len(prefix) : -len(self._suffix)]
        if b"\\" in literal or literal.count(b'"') != 2:
            return ""
        if literal[:1] != b'"' or literal[-1:] != b'"':
            return ""
        try:
            text = literal[1:-1].decode()
        except UnicodeDecodeError:
            return ""
        return text if text.isprintable() else ""


def derive_template(
    event: bytes, number: int, numbered: bool
) -> ChunkTemplate | core.Missing:
    """Makes a template from a chunk of text that passed every check.

    Returns unset if the event has another form than expected.
    """
    head = b"id: %d\n" % number if numbered else b""
    start = event.find(_CONTENT_KEY)
    if not event.startswith(head + b"data:") or start < 0:
        return core.Missing.UNSET
    start += len(_CONTENT_KEY)
    while event[start : start + 1] == b" ":
        start += 1
    literal = _literal_at(event, start)
    prefix = event[len(head) : start]
    suffix = event[start + len(literal) :]
    if not literal or not _is_one_line(prefix, suffix):
        return core.Missing.UNSET
    if not _only_text_differs(prefix, literal, suffix):
        return core.Missing.UNSET
    return ChunkTemplate(prefix, suffix, numbered)


def _literal_at(event: bytes, start: int) -> bytes:
    """Returns the JSON string that begins at `start`, or nothing."""
    try:
        text = event[start:].decode()
        _, end = json.JSONDecoder().raw_decode(text)
    except ValueError:
        return b""
    return text[:end].encode() if text.startswith('"') else b""


def _is_one_line(prefix: bytes, suffix: bytes) -> bool:
    return (
        b"\n" not in prefix
        and suffix.endswith(b"}\n\n")
        and (suffix.count(b"\n") == 2)
    )


def _only_text_differs(prefix: bytes, literal: bytes, suffix: bytes) -> bool:
    """Whether another text in its place changes the text and nothing else."""

    def parse(text: bytes) -> object:
        return json.loads(prefix.removeprefix(b"data:") + text + suffix)

    def pop_text(chunk: object) -> object:
        return chunk["choices"][0]["delta"].pop("content")  # type: ignore

    found, sample = parse(literal), parse(_SAMPLE.encode())
    return (
        pop_text(found) == json.loads(literal)
        and pop_text(sample) == json.loads(_SAMPLE)
        and found == sample
    )
