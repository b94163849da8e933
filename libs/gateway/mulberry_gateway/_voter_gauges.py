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
        values = {
            "state.voters": status.voters,
            "state.leaderless_s": status.leaderless_s,
            "state.voters_answering": status.answering,
            "state.tolerated_losses": status.tolerated_losses,
        }
        for name, value in values.items():
            self._counters.gauge(
                name,
                math.nan if isinstance(value, core.Missing) else float(value),
            )
