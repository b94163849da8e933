"""Tests of the deployments that demo and soak start."""

import pathlib
import socket
import time

import pytest

from mulberry_experiments._soak import _world

#: Far below the time that a deployment may take to be ready.
_TOLD_WITHIN_S = 30.0


def test_an_instance_that_ends_during_the_start_is_told(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a start that fails late and names another instance."""
    world = _world.World(tmp_path, 1)
    taken = world._ports.addresses[-1]
    host, _, port = taken.rpartition(":")
    begin_s = time.monotonic()
    try:
        with (
            socket.create_server((host, int(port))),
            pytest.raises(RuntimeError, match=r"carcha-c-1 ended .*in use"),
        ):
            world.start()
    finally:
        world.stop()
    assert time.monotonic() - begin_s < _TOLD_WITHIN_S
