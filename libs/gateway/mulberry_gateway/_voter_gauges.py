"""Exports the fault tolerance of the group of voters."""

from __future__ import annotations

import math

import mulberry_core as core
import mulberry_state as state


class VoterGauges:
    """Sets the gauges of the group, on an instance that may be a voter."""

    def __init__(self, node: state.StateNode, counters: core.Counters) -> None:
        self._node = node
        self._counters = counters

    def record(self) -> None:
        """Sets the gauges; those that only the leader knows are NaN elsewhere."""
        status = self._node.group_status()
        counters = self._counters
        counters.gauge("state.voters", status.voters)
        counters.gauge("state.leaderless_s", status.leaderless_s)
        counters.gauge("state.voters_answering", _or_nan(status.answering))
        counters.gauge(
            "state.tolerated_losses", _or_nan(status.tolerated_losses)
        )


def _or_nan(value: int | core.Missing) -> float:
    return math.nan if isinstance(value, core.Missing) else float(value)
