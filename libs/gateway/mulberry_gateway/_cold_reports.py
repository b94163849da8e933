"""Reports the upstreams that this instance takes for cold."""

from collections.abc import Mapping

import mulberry_core as core
from mulberry_gateway import _cold_upstreams, _permit_granter


class ColdReports:
    """Logs and counts the cold upstreams, and reports them to the granter."""

    def __init__(
        self,
        cold: _cold_upstreams.ColdUpstreams,
        granter: _permit_granter.PermitGranter,
        counters: core.Counters,
        log: core.DecisionLog,
    ) -> None:
        self._cold = cold
        self._granter = granter
        self._counters = counters
        self._log = log
        self._reported: Mapping[str, _cold_upstreams.ColdReason] = {}

    def report(self) -> None:
        """Reports the current upstreams; to be called once a second.

        Logs and the gauge follow changes since the last call.
        """
        reasons = self._cold.reasons()
        self._granter.refresh(reasons)
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
