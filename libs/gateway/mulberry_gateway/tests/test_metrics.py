"""Metrics in the Prometheus text format."""

import mulberry_core as core
import mulberry_gateway as gateway


def test_counters_gauges_and_histograms_are_exported() -> None:
    counters = core.MemoryCounters()
    counters.increment("gateway.refused.overloaded", 2)
    counters.gauge("gateway.busy", 3.0)
    for ms in (4.0, 40.0, 40_000.0):
        counters.timing("gateway.first.safe", ms)
    endpoint = gateway.MetricsEndpoint(counters).endpoint()
    request = gateway.Request("GET", "/metrics", (), b"", False, True, 0.0, 0.0)
    text = endpoint.answer(request, "").body.decode()
    for line in (
        "mulberry_gateway_refused_overloaded_total 2.0",
        "mulberry_gateway_busy 3.0",
        'mulberry_gateway_first_safe_ms_bucket{le="5.0"} 1.0',
        'mulberry_gateway_first_safe_ms_bucket{le="50.0"} 2.0',
        'mulberry_gateway_first_safe_ms_bucket{le="+Inf"} 3.0',
        "mulberry_gateway_first_safe_ms_sum 40044.0",
    ):
        assert line in text.splitlines()
