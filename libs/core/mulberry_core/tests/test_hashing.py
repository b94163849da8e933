"""Tests of the stable hashes."""

import mulberry_core as core


def test_hash_values_are_stable() -> None:
    """Guards against changed hashes, which remap all sessions and members."""
    assert core.digest128(b"") == "99aa06d3014798d86001c324468d497f"
    assert core.bucket("s1", "m", 100) == core.bucket("s1", "m", 100)


def test_buckets_are_evenly_distributed() -> None:
    """Guards against a skewed rollout percentage."""
    hits = sum(core.bucket(f"s{i}", "m", 100) < 10 for i in range(10_000))
    assert 850 <= hits <= 1150
