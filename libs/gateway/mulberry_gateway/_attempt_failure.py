"""Failed attempts, and the refusals that they end with."""

import dataclasses
import math

import mulberry_core as core
from mulberry_gateway import (
    _blocks,
    _exchange,
    _messages,
    _upstream_call,
    _upstream_selection,
)


@dataclasses.dataclass(frozen=True)
class ConnectedUpstream:
    """An upstream with an open connection on which nothing was sent yet."""

    selection: _upstream_selection.Selection
    call: _upstream_call.UpstreamCall
    #: `Clock.now` when the connection was begun, seconds.
    began_s: float
    #: `Clock.now` when a permit was asked for, seconds; -inf if none was needed.
    permit_s: float = -math.inf


@dataclasses.dataclass(frozen=True)
class AttemptFailure:
    """A failed attempt, and whether another one may follow."""

    refusal: core.Refusal
    #: Whether another upstream may be tried.
    may_retry: bool
    #: The upstream of the next attempt, granted by the retry budget, if it was
    #: connected before this attempt was given up.
    replacement: ConnectedUpstream | core.Missing = core.Missing.UNSET
    #: The upstream's answer, forwarded if no later attempt succeeds.
    answer: _messages.Response | core.Missing = core.Missing.UNSET


def deadline_refusal(exchange: _exchange.Exchange) -> core.Refusal:
    """Returns the refusal of a request whose deadline has passed."""
    kind = (
        core.ErrorKind.DEADLINE_UNREACHABLE
        if exchange.run is core.RunState.NOT_RUN
        else core.ErrorKind.DEADLINE_EXCEEDED
    )
    return core.Refusal(
        kind, exchange.run, "the deadline passed before the answer arrived"
    )


def quarantine_refusal(
    exchange: _exchange.Exchange, block: _blocks.Block
) -> core.Refusal:
    """Returns the refusal of a request that is quarantined."""
    return core.Refusal(
        core.ErrorKind.CONTENT_BLOCKED
        if exchange.run is core.RunState.NOT_RUN
        else core.ErrorKind.UPSTREAM_FAILED,
        exchange.run,
        f"upstreams were lost while running {block.subject}",
        retry_after_s=block.remaining_s,
    )
