"""Permits over gRPC: the home of an upstream owns its rate."""

import math
from collections.abc import Callable, Iterator, Mapping

import grpc

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _permit_granter, _permit_owner
from mulberry_wire import limits_pb2, limits_pb2_grpc

#: Time for which an instance of a build without permits is not asked again,
#: seconds.
_UNSUPPORTED_S = 10.0


class SharedPermitOwner(_permit_owner.PermitOwner):
    """Asks the home of the upstream.

    Where the home runs a build without permits, all instances ask the same
    other one. A home that cannot be reached is not replaced: two owners would
    grant twice the rate. Another instance becomes the home once the upstream
    announces itself there.
    """

    def __init__(
        self,
        own_name: str,
        members: Callable[[], Mapping[str, membership.Member]],
        granter: _permit_granter.PermitGranter,
        channels: state.Channels,
        clock: core.Clock,
    ) -> None:
        self._own_name = own_name
        self._members = members
        self._granter = granter
        self._channels = channels
        self._clock = clock
        #: `Clock.now` until which each instance is not asked, seconds.
        self._unsupported_until_s: dict[str, float] = {}

    def reserve(
        self,
        upstream: membership.Upstream,
        report: decisions.RateReport,
        wants_permit: bool,
        timeout_s: float,
        cold: decisions.ColdLimit | core.Missing = core.Missing.UNLIMITED,
    ) -> decisions.PermitReply | core.Refusal:
        """Asks the owner; this instance itself without a call."""
        cold_per_s = 0.0 if isinstance(cold, core.Missing) else cold.rate_per_s
        members = self._members()
        for name in self._owners(upstream, members):
            if name == self._own_name:
                return self._granter.reserve(
                    upstream.name,
                    upstream.incarnation,
                    report,
                    wants_permit,
                    cold_per_s,
                )
            member = members.get(name)
            if member is None:
                return _refusal(f"{name} is no member")
            if cold_per_s and member.state is membership.MemberState.DEAD:
                # Each of its upstreams counts as cold, and waiting for the end
                # of each call would delay requests that others could run.
                return _refusal(f"{name} is dead")
            reply = self._channels.call(
                member.address,
                limits_pb2_grpc.PermitsStub,
                "Reserve",
                limits_pb2.ReserveRequest(
                    upstream=upstream.name,
                    incarnation=upstream.incarnation,
                    report=_encode_report(report),
                    wants_permit=wants_permit,
                    cold_rate_per_s=cold_per_s,
                ),
                timeout_s,
            )
            if not isinstance(reply, state.Unreachable):
                return decisions.PermitReply(
                    reply.wait_ms / 1000, _decode_report(reply.report)
                )
            if not reply.is_unimplemented:
                return _refusal(f"{name}: {reply.reason}")
            self._unsupported_until_s[name] = self._clock.now() + _UNSUPPORTED_S
        return _refusal("no instance grants permits")

    def _owners(
        self,
        upstream: membership.Upstream,
        members: Mapping[str, membership.Member],
    ) -> Iterator[str]:
        """Yields the instances to ask, in the same order on all of them.

        The others are sorted only if the home does not support permits.
        """
        if self._is_supported(upstream.home):
            yield upstream.home
        yield from sorted(
            (
                name
                for name, member in members.items()
                if member.state is not membership.MemberState.DEAD
                and name != upstream.home
                and self._is_supported(name)
            ),
            key=lambda name: core.digest128(f"{upstream.name}/{name}".encode()),
        )

    def _is_supported(self, name: str) -> bool:
        """Whether the instance is not known to run a build without permits."""
        now_s = self._clock.now()
        return self._unsupported_until_s.get(name, now_s) <= now_s


class PermitsServicer(limits_pb2_grpc.PermitsServicer):
    """Grants permits to other instances."""

    def __init__(self, granter: _permit_granter.PermitGranter) -> None:
        self._granter = granter

    def Reserve(  # noqa: N802 (name of the gRPC method)
        self, request: limits_pb2.ReserveRequest, context: grpc.ServicerContext
    ) -> limits_pb2.ReserveReply:
        """Takes a permit for one request of another instance."""
        del context
        reply = self._granter.reserve(
            request.upstream,
            request.incarnation,
            _decode_report(request.report),
            request.wants_permit,
            request.cold_rate_per_s,
        )
        return limits_pb2.ReserveReply(
            wait_ms=_milliseconds(reply.wait_s),
            report=_encode_report(reply.report),
        )


def add_permits_service(server: grpc.Server, servicer: PermitsServicer) -> None:
    """Registers the service on a server that is not yet started."""
    limits_pb2_grpc.add_PermitsServicer_to_server(servicer, server)  # type: ignore[no-untyped-call]


def _encode_report(
    report: decisions.RateReport,
) -> limits_pb2.RateReportMessage:
    age_ms = min(int(report.age_s * 1000), (1 << 32) - 1)
    if isinstance(report.rate_per_s, core.Missing):
        return limits_pb2.RateReportMessage(unlimited=True, age_ms=age_ms)
    return limits_pb2.RateReportMessage(
        rate_per_s=report.rate_per_s, age_ms=age_ms
    )


def _decode_report(
    message: limits_pb2.RateReportMessage,
) -> decisions.RateReport:
    """Decodes a report; a rate that is no number counts as 0."""
    rate_per_s: float | core.Missing = core.Missing.UNLIMITED
    if not message.unlimited:
        is_number = 0.0 <= message.rate_per_s < float("inf")
        rate_per_s = message.rate_per_s if is_number else 0.0
    return decisions.RateReport(rate_per_s, message.age_ms / 1000)


def _milliseconds(seconds: float) -> int:
    """Rounds up, as 0 stands for a permit.

    The wait of an instance that names a rate near 0 would not fit the field.
    """
    return math.ceil(min(seconds, _permit_owner.MAX_WAIT_S) * 1000)


def _refusal(reason: str) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.NO_UPSTREAM, core.RunState.NOT_RUN, reason
    )
