"""Upstreams as records of the soft state carry them."""

import dataclasses

from google.protobuf import message

import mulberry_core as core
from mulberry_membership import _announcements, _records
from mulberry_wire import peer_pb2


@dataclasses.dataclass(frozen=True)
class Upstream:
    """One upstream as this instance knows it."""

    name: str
    #: Base address for requests, for example `http://10.0.0.7:8000`.
    address: str
    #: Grows with each start of the upstream.
    incarnation: int
    #: Of the announcement that the record was made from.
    sequence: int
    state: _announcements.UpstreamState
    #: Availability zone.
    zone: str
    #: Sorted; empty for a plain service.
    versions: tuple[_announcements.ServedVersion, ...]
    #: Name of the plain service; unset for an engine.
    service: str | core.Missing
    #: Requests that it can run at once.
    capacity: int
    #: Requests that were running when it reported its load.
    running: int
    #: Requests that waited at the upstream when it reported its load.
    queued: int
    #: Whether it rejects orders with an outdated fencing number.
    checks_fencing: bool
    #: Instance that receives its announcements.
    home: str
    #: Seconds since the load report reached this instance. A home sends no
    #: report while the load changes by less than the publication threshold,
    #: so an old report of a live upstream is still close to the truth.
    load_age_s: float
    #: Version of the software that it runs; empty if not told.
    release: str = ""

    def serves(self, model: str, version: str) -> bool:
        """Whether the upstream has this version loaded."""
        return _announcements.ServedVersion(model, version) in self.versions


def encode_upstream(announcement: _announcements.Announcement) -> bytes:
    """Returns the payload of the record of an upstream."""
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
    )
    for served in announcement.versions:
        payload.versions.add(model=served.model, version=served.version)
    return bytes(payload.SerializeToString())


def decode_upstream(
    record: _records.Record, load_age_s: float
) -> Upstream | core.Missing:
    """Returns the upstream of a record, unset if it cannot be read."""
    payload = peer_pb2.UpstreamPayload()
    try:
        payload.ParseFromString(record.payload)
    except message.DecodeError:
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
    )
