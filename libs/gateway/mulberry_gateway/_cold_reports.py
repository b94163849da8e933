"""Logs and counts the upstreams that this instance takes for cold."""

from collections.abc import Mapping

import mulberry_core as core
from mulberry_gateway import _cold_upstreams


class ColdReports:
    """Compares the cold upstreams with those of the last call."""

    def __init__(
        self,
        cold: _cold_upstreams.ColdUpstreams,
        counters: core.Counters,
        log: core.DecisionLog,
    ) -> None:
        self._cold = cold
        self._counters = counters
        self._log = log
        self._reported: Mapping[str, _cold_upstreams.ColdReason] = {}

    def report(self) -> None:
        """Logs changes and sets the gauge; to be called once a second."""
        reasons = self._cold.reasons()
        if reasons == self._reported:
            return
        for name, reason in reasons.items():
            if name not in self._reported:
                self._log.note(
                    "upstream",
                    keep=True,
                    name=name,
                    said="cold",
                    reason=reason.value,
                )
        for name in self._reported.keys() - reasons.keys():
            self._log.note("upstream", keep=True, name=name, said="warm")
        self._reported = reasons
        self._counters.gauge("gateway.cold_upstreams", len(reasons))
