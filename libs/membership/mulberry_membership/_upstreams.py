"""Upstreams and their encoding as soft-state records."""

import dataclasses
import functools
import math
import re

from google.protobuf import message

import mulberry_core as core
from mulberry_membership import (
    _addresses,
    _announcements,
    _codec,
    _records,
)
from mulberry_wire import peer_pb2

#: Names of upstreams are sent to them in headers: visible ASCII characters.
#: Ids of records also contain other parts, and have 512 characters at most.
_NAME = re.compile(r"[!-~]{1,256}")
#: Most requests that an upstream may run at once; loads are divided by it.
_MAX_CAPACITY = 1_000_000
#: Longest address with a scheme.
_MAX_ADDRESS_LENGTH = 128
#: Longest time for which an upstream may say that it is cold, milliseconds. It
#: applies to announcements as well; records of other instances may state more.
_MAX_COLD_MS = 600_000
#: Number of cached checks. All upstreams are listed several times a second, and
#: checking those of the design scale anew each time took 3 of 19 ms.
_CACHED_CHECKS = 2_048


@dataclasses.dataclass(frozen=True)
class Upstream:
    """State of one upstream, as last reported to this instance."""

    name: str
    #: Base address for requests, for example `http://10.0.0.7:8000`.
    address: str
    #: Increases with each start of the upstream.
    incarnation: int
    #: Sequence number of the announcement that the record is based on.
    sequence: int
    state: _announcements.UpstreamState
    #: Availability zone.
    zone: str
    #: Sorted; empty for a plain service.
    versions: tuple[_announcements.ServedVersion, ...]
    #: Name of the plain service; unset for an engine.
    service: str | core.Missing
    #: Maximum number of concurrent requests.
    capacity: int
    #: Requests running when it reported its load.
    running: int
    #: Requests queued at the upstream when it reported its load.
    queued: int
    #: Whether it rejects orders with an outdated fencing number.
    checks_fencing: bool
    #: Name of the instance that receives its announcements.
    home: str
    #: Seconds since the load report reached this instance. The home publishes
    #: no report while the load changes by less than the publication threshold,
    #: so an old report of a live upstream is still approximately right.
    load_age_s: float
    #: Version of the software that it runs; empty if not announced.
    release: str = ""
    #: `Clock.now` until which it has said that it is cold, seconds; -inf if it
    #: is warm.
    cold_until_s: float = -math.inf

    def serves(self, model: str, version: str) -> bool:
        """Whether the upstream has this version loaded."""
        return _announcements.ServedVersion(model, version) in self.versions


def is_upstream_name(name: str) -> bool:
    """Whether requests can name an upstream like this in a header."""
    return bool(_NAME.fullmatch(name))


@functools.lru_cache(_CACHED_CHECKS)
def _has_name_and_address(name: str, address: str) -> bool:
    """Whether requests can be sent to an upstream."""
    return is_upstream_name(name) and _addresses.is_base_address(address)


def encode_upstream(announcement: _announcements.Announcement) -> bytes:
    """Encodes an announcement as the payload of an upstream record."""
    service = announcement.service
    payload = peer_pb2.UpstreamPayload(
        address=announcement.address,
        zone=announcement.zone,
        leaving=announcement.state is _announcements.UpstreamState.LEAVING,
        service="" if isinstance(service, core.Missing) else service,
        capacity=announcement.capacity,
        running=announcement.running,
        queued=announcement.queued,
        checks_fencing=announcement.checks_fencing,
        release=announcement.release,
        cold_ms=min(math.ceil(announcement.cold_s * 1000), _MAX_COLD_MS),
    )
    for served in announcement.versions:
        payload.versions.add(model=served.model, version=served.version)
    return bytes(payload.SerializeToString())


def check_size(
    announcement: _announcements.Announcement,
) -> core.Missing | core.Refusal:
    """Returns a refusal if other instances would not take the record."""
    size = len(encode_upstream(announcement))
    if size <= _codec.MAX_PAYLOAD_BYTES:
        return core.Missing.UNSET
    return core.Refusal(
        core.ErrorKind.REQUEST_TOO_LARGE,
        core.RunState.NOT_RUN,
        f"the announcement of {announcement.name} takes {size} bytes in a "
        f"record, more than {_codec.MAX_PAYLOAD_BYTES}",
    )


def says_departed(record: _records.Record) -> bool:
    """Whether a record says that its upstream leaves or is gone."""
    return record.removed or says_leaving(record)


def says_leaving(record: _records.Record) -> bool:
    """Whether the upstream itself has said that it leaves or has left.

    False if the payload is malformed, and if its home removed the record since
    the upstream had fallen silent.
    """
    if record.sequence == _records.LEFT_SEQUENCE:
        return True
    payload = peer_pb2.UpstreamPayload()
    try:
        payload.ParseFromString(record.payload)
    except message.DecodeError:
        return False
    return bool(payload.leaving)


def decode_upstream(
    record: _records.Record, load_age_s: float, now_s: float = 0.0
) -> Upstream | core.Missing:
    """Decodes an upstream record.

    Args:
        record: The record.
        load_age_s: Time since it arrived at this instance, seconds.
        now_s: `Clock.now`, seconds.

    Returns:
        The upstream. Unset if the payload is malformed, or names an upstream to
        which nothing can be sent: an instance of an earlier version may have
        accepted and published such an announcement.
    """
    payload = peer_pb2.UpstreamPayload()
    try:
        payload.ParseFromString(record.payload)
    except message.DecodeError:
        return core.Missing.UNSET
    if not (
        1 <= payload.capacity <= _MAX_CAPACITY
        and len(payload.address) <= _MAX_ADDRESS_LENGTH
        and _has_name_and_address(record.id, payload.address)
    ):
        return core.Missing.UNSET
    state = _announcements.UpstreamState
    return Upstream(
        name=record.id,
        address=payload.address,
        incarnation=record.incarnation,
        sequence=record.sequence,
        state=state.LEAVING if payload.leaving else state.READY,
        zone=payload.zone,
        versions=tuple(
            _announcements.ServedVersion(item.model, item.version)
            for item in payload.versions
        ),
        service=payload.service or core.Missing.UNSET,
        capacity=payload.capacity,
        running=payload.running,
        queued=payload.queued,
        checks_fencing=payload.checks_fencing,
        home=record.owner,
        load_age_s=load_age_s,
        release=payload.release,
        cold_until_s=now_s
        - load_age_s
        + min(payload.cold_ms, _MAX_COLD_MS) / 1000
        if payload.cold_ms
        else -math.inf,
    )
