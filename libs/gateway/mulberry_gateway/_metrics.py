"""Counters and latency histograms in the Prometheus text format."""

import itertools
from collections.abc import Iterable
from typing import Any

import mulberry_core as core
from mulberry_gateway import _endpoints, _messages

PATH = "/metrics"
_PREFIX = "mulberry_"


class MetricsEndpoint:
    """Exports the metrics of an instance.

    Counter `gateway.refused.overloaded` is exported as
    `mulberry_gateway_refused_overloaded_total`, timing `gateway.first.safe` as
    the histogram `mulberry_gateway_first_safe_ms`.
    """

    def __init__(self, counters: core.MemoryCounters) -> None:
        self._counters = counters

    def endpoint(self) -> _endpoints.Endpoint:
        """Returns the endpoint for scrapers."""
        return _endpoints.Endpoint("GET", PATH, self._answer)

    def collect(self) -> Iterable[Any]:
        """Yields the metrics; called by the Prometheus client library."""
        # Imported at the first scrape, because the import would add 0.1 s of
        # processor time to every start.
        from prometheus_client import core as metrics

        histograms = self._counters.histograms()
        for name, value in sorted(self._counters.snapshot().items()):
            if name in histograms or name.removesuffix(".ms") in histograms:
                continue
            family = (
                metrics.CounterMetricFamily
                if isinstance(value, int)
                else metrics.GaugeMetricFamily
            )
            yield family(_metric_name(name), name, value=value)
        bounds = [*(str(bound) for bound in core.BUCKETS_MS), "+Inf"]
        for name, histogram in sorted(histograms.items()):
            cumulative = itertools.accumulate(histogram.counts)
            yield metrics.HistogramMetricFamily(
                f"{_metric_name(name)}_ms",
                f"{name}, milliseconds",
                buckets=list(zip(bounds, cumulative, strict=True)),
                sum_value=histogram.sum_ms,
            )

    def _answer(
        self, request: _messages.Request, rest: str
    ) -> _messages.Response:
        del request, rest
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return _messages.Response(
            200,
            (("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),),
            prometheus_client.generate_latest(registry),
        )


def _metric_name(name: str) -> str:
    return _PREFIX + "".join(c if c.isalnum() else "_" for c in name)
