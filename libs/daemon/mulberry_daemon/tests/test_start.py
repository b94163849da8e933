"""Tests of failing starts."""

import json
import pathlib
import socket
import subprocess
import sys

import mulberry_standins as standins

#: Longest time for the daemon to import its modules and exit, seconds.
_END_TIMEOUT_S = 30.0


def test_daemon_exits_if_its_address_is_in_use(tmp_path: pathlib.Path) -> None:
    """Guards against a daemon that stays a member but serves no requests.

    Its threads kept the process alive after the error, so that it was not
    restarted.
    """
    with (
        standins.ReservedPorts(1) as ports,
        socket.create_server(("127.0.0.1", 0)) as taken,
    ):
        (grpc_address,) = ports.addresses
        http_address = f"127.0.0.1:{taken.getsockname()[1]}"
        settings = tmp_path / "settings.json"
        settings.write_text(
            json.dumps(
                {
                    "name": "a",
                    "zone": "z",
                    "region": "r",
                    "http_address": http_address,
                    "grpc_address": grpc_address,
                    "peers": [grpc_address],
                    "voters": {"a": grpc_address},
                    "voter": True,
                    "data_dir": str(tmp_path / "data"),
                }
            )
        )
        daemon = pathlib.Path(sys.executable).parent / "mulberrystaged"
        ended = subprocess.run(
            [daemon, f"--settings={settings}"],
            capture_output=True,
            text=True,
            timeout=_END_TIMEOUT_S,
            check=False,
        )
    assert ended.returncode == 1, ended.stderr
    assert "Address already in use" in ended.stderr
