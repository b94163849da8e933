"""Tests of TLS, with one instance in the test process."""

import contextlib
import dataclasses
import json
import pathlib
import socket
import ssl
import threading
import time
import urllib.request
from collections.abc import Iterator

import grpc
import pytest
import trustme

import mulberry_core as core
import mulberry_daemon as daemon
import mulberry_rules as rules
import mulberry_standins as standins
from mulberry_wire import operator_pb2, operator_pb2_grpc


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A running instance and the CA of its certificates."""

    settings: rules.Settings
    authority: trustme.CA
    tls: rules.Tls


def _write_files(authority: trustme.CA, tls: rules.Tls) -> None:
    certificate = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(tls.ca_file)
    certificate.private_key_pem.write_to_path(tls.key_file)
    certificate.cert_chain_pems[0].write_to_path(tls.certificate_file)


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    authority = trustme.CA()
    tls = rules.Tls(
        str(tmp_path / "cert.pem"),
        str(tmp_path / "key.pem"),
        str(tmp_path / "ca.pem"),
    )
    _write_files(authority, tls)
    ports = standins.ReservedPorts(2)
    http_address, grpc_address = ports.addresses
    settings = rules.Settings(
        name="a",
        zone="z",
        region="r",
        http_address=http_address,
        grpc_address=grpc_address,
        peers=(grpc_address,),
        data_dir=str(tmp_path / "data"),
        voter=True,
        voters_by_name={"a": grpc_address},
        rule_file=core.Missing.UNSET,
        announce_key_hash=core.Missing.UNSET,
        statsd_address=core.Missing.UNSET,
        tls=tls,
    )
    instance = daemon.Instance(settings)
    instance.start()
    yield Deployment(settings, authority, tls)
    forced = threading.Event()
    forced.set()
    instance.stop(forced)
    ports.close()


def _server_certificate(deployment: Deployment) -> bytes:
    host, port = deployment.settings.http_address.split(":")
    context = ssl.create_default_context(cafile=deployment.tls.ca_file)
    with (
        socket.create_connection((host, int(port)), 5) as plain,
        context.wrap_socket(plain, server_hostname=host) as secured,
    ):
        return secured.getpeercert(binary_form=True) or b""


def test_callers_are_served_over_tls_only(deployment: Deployment) -> None:
    """Guards against unencrypted connections when TLS is configured."""
    url = f"https://{deployment.settings.http_address}/v1/entries"
    context = ssl.create_default_context(cafile=deployment.tls.ca_file)
    with urllib.request.urlopen(url, timeout=5, context=context) as answer:
        assert "entries" in json.load(answer)
    with pytest.raises(ssl.SSLError):
        _server_certificate(
            dataclasses.replace(
                deployment,
                tls=dataclasses.replace(
                    deployment.tls, ca_file=_other_authority(deployment)
                ),
            )
        )


def _other_authority(deployment: Deployment) -> str:
    path = f"{deployment.tls.ca_file}.other"
    trustme.CA().cert_pem.write_to_path(path)
    return path


def test_grpc_clients_need_a_certificate_of_the_ca(
    deployment: Deployment,
) -> None:
    """Guards against access by operators and peers without a certificate."""
    address = deployment.settings.grpc_address
    authority = deployment.authority
    client = authority.issue_cert("operator")
    trusted = grpc.ssl_channel_credentials(
        authority.cert_pem.bytes(),
        client.private_key_pem.bytes(),
        client.cert_chain_pems[0].bytes(),
    )
    anonymous = grpc.ssl_channel_credentials(authority.cert_pem.bytes())
    request = operator_pb2.GetStatusRequest()
    with grpc.secure_channel(address, trusted) as channel:
        stub = operator_pb2_grpc.OperatorStub(channel)  # type: ignore[no-untyped-call]
        assert stub.GetStatus(request, timeout=10).instance == "a"
    for channel in (
        grpc.secure_channel(address, anonymous),
        grpc.insecure_channel(address),
    ):
        with channel, pytest.raises(grpc.RpcError):
            stub = operator_pb2_grpc.OperatorStub(channel)  # type: ignore[no-untyped-call]
            stub.GetStatus(request, timeout=2)


def test_replaced_files_are_loaded_without_a_restart(
    deployment: Deployment,
) -> None:
    """Guards against renewed certificates that need a restart."""
    before = _server_certificate(deployment)
    _write_files(deployment.authority, deployment.tls)
    until_s = time.monotonic() + 15
    with contextlib.suppress(ssl.SSLError):
        while (
            _server_certificate(deployment) == before
            and time.monotonic() < until_s
        ):
            time.sleep(0.2)
    assert _server_certificate(deployment) != before
