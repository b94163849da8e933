"""Tests of the deployments that demo and soak start."""

import pathlib
import socket

import pytest

from mulberry_experiments._soak import _soak_deployment


def test_an_instance_that_ends_during_the_start_is_told(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a start that fails late and names another instance.

    At the end of the time for a start the error would be another.
    """
    deployment = _soak_deployment.SoakDeployment(tmp_path, 1)
    taken = deployment._ports.addresses[-1]
    host, _, port = taken.rpartition(":")
    try:
        with (
            socket.create_server((host, int(port))),
            pytest.raises(RuntimeError, match=r"carcha-c-1 ended .*in use"),
        ):
            deployment.start()
    finally:
        deployment.stop()
