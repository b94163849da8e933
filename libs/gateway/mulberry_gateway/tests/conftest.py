"""Fixtures for tests of relayed connections."""

from collections.abc import Iterator

import pytest

from mulberry_gateway.tests import relay_harness


@pytest.fixture
def resources() -> Iterator[relay_harness.Resources]:
    """Closes what a test has created."""
    created = relay_harness.Resources()
    yield created
    created.close()
