"""Tests of the deployments for demo and soak."""

import pathlib
import socket

import pytest

from mulberry_experiments._soak import _soak_deployment


def test_start_reports_an_instance_that_exits(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against waiting for the start timeout after an instance exited.

    The timeout error would name another instance and not the cause.
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
