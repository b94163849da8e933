"""Applies what upstreams say of themselves in their answers."""

import mulberry_core as core
import mulberry_membership as membership
from mulberry_gateway import _dialect, _rate_gate, _upstream_selection


class UpstreamSignals:
    """Passes shutdowns, retry delays and limits to those that obey them."""

    def __init__(
        self,
        selector: _upstream_selection.UpstreamSelector,
        rate_gate: _rate_gate.RateGate,
        log: core.DecisionLog,
    ) -> None:
        self._selector = selector
        self._rate_gate = rate_gate
        self._log = log

    def apply(
        self,
        service: str,
        upstream: membership.Upstream,
        metadata: _dialect.ResponseMetadata,
    ) -> None:
        """Applies the signals in the head of an answer."""
        self._apply_availability(upstream, metadata)
        from_upstream = metadata.is_genuine or metadata.not_run
        if from_upstream and not metadata.is_other_upstream:
            self._apply_rejection_limit(service, upstream.name, metadata)
            self._rate_gate.answered(
                upstream, metadata.rate_per_s, metadata.cold_s
            )

    def _apply_availability(
        self, upstream: membership.Upstream, metadata: _dialect.ResponseMetadata
    ) -> None:
        health = self._selector.health
        if metadata.is_leaving:
            health.shutdown_announced(upstream.name, upstream.incarnation)
        if metadata.retry_after_s:
            health.retry_after_received(upstream.name, metadata.retry_after_s)
        if metadata.is_leaving or metadata.retry_after_s:
            self._log.note(
                "upstream",
                name=upstream.name,
                said="leaving" if metadata.is_leaving else "full",
                wait_s=metadata.retry_after_s,
            )

    def _apply_rejection_limit(
        self, service: str, upstream: str, metadata: _dialect.ResponseMetadata
    ) -> None:
        limiter = self._selector.rejection_limiter
        limit = metadata.rejection_limit
        if limiter.answered(service, upstream, limit):
            is_unset = isinstance(limit, core.Missing)
            self._log.note(
                "upstream",
                keep=True,
                name=upstream,
                service=service,
                said="no_rejection_limit" if is_unset else "rejection_limit",
                limit=-1 if is_unset else limit,
            )
        if metadata.not_run:
            limiter.rejected(service, upstream)
