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
_RECORD_ID = re.compile(r"([^/]+)/(.+)\.([0-9]+)")
#: Payload of the strike of a part: its depth and the content that ran.
_PAYLOAD = re.compile(rb"([0-9]{1,9}) ([0-9a-f]*)")


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
        """Payload of the record; empty for a content."""
        subject = self.subject
        if not is_part(subject.digest):
            return b""
        return f"{subject.depth} {subject.content}".encode()


def part_digest(part_id: str) -> str:
    """Returns the digest of a prompt part."""
    return _PART_PREFIX + core.digest128(part_id.encode())


def is_part(digest: str) -> bool:
    """Whether a digest is that of a prompt part."""
    return digest.startswith(_PART_PREFIX)


def decode(record: membership.Record) -> Strike | core.Missing:
    """Returns the strike of a record; unset if another version wrote it."""
    found = _RECORD_ID.fullmatch(record.id)
    if found is None or record.sequence not in list(StrikeState):
        return core.Missing.UNSET
    digest, upstream, incarnation = found.groups()
    content, depth = "", 0
    if payload := _PAYLOAD.fullmatch(record.payload):
        depth, content = int(payload[1]), payload[2].decode()
    return Strike(
        Subject(digest, content, depth),
        upstream,
        int(incarnation),
        StrikeState(record.sequence),
    )
