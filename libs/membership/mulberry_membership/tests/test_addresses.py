"""Tests of the validation of announced addresses."""

import socket

import pytest

import mulberry_membership as membership
from mulberry_membership import _addresses


@pytest.mark.parametrize(
    "text",
    ["10.0.0.1:1", "127.0.0.1:65535", "255.1.2.3:80", "8.8.8.8:443"],
)
def test_ipv4_endpoint(text: str) -> None:
    """Guards against a worker that is refused for a proper address."""
    assert membership.is_ipv4_endpoint(text)
    assert membership.is_endpoint(text)


@pytest.mark.parametrize("text", ["[::1]:80", "[fd00::7]:8000"])
def test_ipv6_endpoint(text: str) -> None:
    """Guards against IPv6 addresses where only IPv4 sockets are opened."""
    assert membership.is_endpoint(text)
    assert not membership.is_ipv4_endpoint(text)


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:00",
        "10.0.0.1:080",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:+80",
        "10.0.0.1:8_0",
        "10.0.0.1: 80",
        "10.0.0.1:80\n",
        "10.0.0.1:80\r\nX: y",
        "10.0.0.1:\u0668\u0660",
        "10.0.0.1:\u00b2",
        "10.0.0.1:" + "9" * 5_000,
        "\u0661.0.0.1:80",
        "10.0.0.1\0:80",
        "10.0.0.\ud800:80",
        "999.999.1.1:80",
        "256.0.0.1:80",
        "1.......:80",
        "1.2.3:80",
        "1.2.3.4.5:80",
        "16909060:80",
        "010.0.0.1:80",
        "0x0a.0.0.1:80",
        "[::1:80",
        "::1:80",
        "[1.2.3.4]:80",
        "[fe80::1%eth0]:80",
        "localhost:80",
        "http://10.0.0.1:80",
        "10.0.0.1:80/",
    ],
)
def test_no_endpoint(text: str) -> None:
    """Guards against addresses that sockets refuse or read as another one."""
    assert not membership.is_endpoint(text)
    assert not membership.is_ipv4_endpoint(text)
    assert not _addresses.is_base_address(text.removeprefix("http://") + "/")


@pytest.mark.parametrize("text", ["0.0.0.0:80", "[::]:80"])
def test_unspecified_address_names_no_upstream(text: str) -> None:
    """Guards against requests that an instance sends to its own machine.

    An entry that listens on all addresses may still be listed.
    """
    assert membership.is_endpoint(text)
    assert not membership.is_ipv4_endpoint(text)
    assert not _addresses.is_base_address(text)
    assert not _addresses.is_base_address(f"http://{text}")


@pytest.mark.parametrize("text", ["10.0.0.1:80", "[::1]:80"])
def test_base_address(text: str) -> None:
    """Guards against a scheme that is refused, or taken twice."""
    for scheme in ("", "http://", "https://"):
        assert _addresses.is_base_address(scheme + text)
    assert not _addresses.is_base_address("http://https://" + text)
    assert not _addresses.is_base_address("file://" + text)


def test_socket_layer_reads_leading_zeros_as_octal() -> None:
    """Guards against a worker's requests sent to another machine.

    Shows why an address with leading zeros is refused.
    """
    assert socket.inet_aton("010.0.0.1") == bytes((8, 0, 0, 1))
