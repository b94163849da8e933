"""Strikes as records of the soft state."""

import dataclasses
import enum
import re

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state

#: Prefix of the digest of a prompt part; digests of contents have none.
_PART_PREFIX = "part:"
#: Record id: digest, upstream and incarnation.
_RECORD_ID = re.compile(r"([^/]+)/([!-~]+)\.([0-9]{1,19})")
#: Highest incarnation; the replicated state has 64 bits for it.
_MAX_INCARNATION = 2**63 - 1
#: Payload of the strike of a part: its depth, the content that ran, whether the
#: run was a trial, and whether the part was sound before.
_PART_PAYLOAD = re.compile(rb"([0-9]{1,9}) ([0-9a-f]*)( trial)?( sound)?")
#: Payload of the strike of a content: the keys of its shared parts.
_CONTENT_PAYLOAD = re.compile(rb"[0-9a-f ]*")
#: Length of the key of a part, characters of its digest.
_PART_KEY_LENGTH = 8


class StrikeState(enum.IntEnum):
    """State of a strike; a higher state replaces a lower one."""

    #: The run ended early, but its upstream accepts connections.
    SUSPECTED = 1
    #: The upstream was lost.
    CONFIRMED = 2
    #: A run has completed since.
    CLEARED = 3


@dataclasses.dataclass(frozen=True)
class Subject:
    """What a strike is given to: the content of a request or a prompt part."""

    digest: str
    #: Content of the request that ran; empty in the strike of a content.
    content: str = ""
    #: Position of a part in the prompt, from 0.
    depth: int = 0
    #: Whether the run was to show if the part is still blocked rightly.
    is_trial: bool = False
    #: Whether the instance that gave the strike had a sound run with the part.
    was_sound: bool = False
    #: Keys of the shared parts of a content; empty if they are unknown.
    part_keys: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Strike:
    """Marks a subject that was being run when an upstream was lost."""

    subject: Subject
    upstream: str
    incarnation: int
    state: StrikeState

    @property
    def record_id(self) -> str:
        """Id of the record, the same for all instances that saw the loss."""
        return f"{self.subject.digest}/{self.upstream}.{self.incarnation}"

    @property
    def crash_id(self) -> str:
        """Id of the crash in the replicated state."""
        return state.crash_id(self.upstream, self.incarnation)

    @property
    def payload(self) -> bytes:
        """Payload of the record."""
        subject = self.subject
        if not is_part(subject.digest):
            return " ".join(sorted(subject.part_keys)).encode()
        words = [
            str(subject.depth),
            subject.content,
            *(["trial"] if subject.is_trial else []),
            *(["sound"] if subject.was_sound else []),
        ]
        return " ".join(words).encode()

    @property
    def is_open_trial(self) -> bool:
        """Whether the strike was given in advance to a trial that still runs."""
        return self.subject.is_trial and self.state is StrikeState.SUSPECTED


def part_digest(part_id: str) -> str:
    """Returns the digest of a prompt part."""
    return _PART_PREFIX + core.digest128(part_id.encode())


def is_part(digest: str) -> bool:
    """Whether a digest is that of a prompt part."""
    return digest.startswith(_PART_PREFIX)


def part_key(digest: str) -> str:
    """Returns a short form of a part's digest."""
    return digest.removeprefix(_PART_PREFIX)[:_PART_KEY_LENGTH]


def decode(record: membership.Record) -> Strike | core.Missing:
    """Returns the strike of a record; unset if another version wrote it.

    Also unset if it could not be recorded in the replicated state.
    """
    found = _RECORD_ID.fullmatch(record.id)
    if found is None or record.sequence not in list(StrikeState):
        return core.Missing.UNSET
    digest, upstream, incarnation = found.groups()
    if int(incarnation) > _MAX_INCARNATION:
        return core.Missing.UNSET
    return Strike(
        _decode_subject(digest, record.payload),
        upstream,
        int(incarnation),
        StrikeState(record.sequence),
    )


def _decode_subject(digest: str, payload: bytes) -> Subject:
    if not is_part(digest):
        is_valid = _CONTENT_PAYLOAD.fullmatch(payload)
        keys = payload.decode().split() if is_valid else ()
        return Subject(digest, part_keys=frozenset(keys))
    found = _PART_PAYLOAD.fullmatch(payload)
    if found is None:
        return Subject(digest)
    return Subject(
        digest,
        found[2].decode(),
        int(found[1]),
        is_trial=bool(found[3]),
        was_sound=bool(found[4]),
    )
