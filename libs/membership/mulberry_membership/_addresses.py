"""Validation of addresses that upstreams and instances announce."""

import re
import socket

_MAX_PORT = 65_535
#: `IP:PORT`, the IP address of version 6 in brackets. A port has no leading
#: zeros, so that one address has one spelling.
_ENDPOINT = re.compile(r"([0-9.]+|\[([0-9A-Fa-f:.]+)\]):([1-9][0-9]{0,4})")
_SCHEME = re.compile(r"https?://")


def is_endpoint(text: str) -> bool:
    """Whether a text is an address `IP:PORT` to which sockets can connect.

    Host names are no addresses: looking one up would block the thread that
    connects. IPv4 addresses have four decimal parts without leading zeros,
    because the socket layer reads `010.0.0.1` as octal and `10.1` as
    `10.0.0.1`.
    """
    return bool(_packed_address(text))


def is_base_address(text: str) -> bool:
    """Whether an upstream may announce a text as its address.

    That is `IP:PORT`, with or without `http://` or `https://`. The unspecified
    address is none: it leads each sender to its own machine.
    """
    scheme = _SCHEME.match(text)
    return any(_packed_address(text[scheme.end() :] if scheme else text))


def is_ipv4_endpoint(text: str) -> bool:
    """Whether an upstream may announce a text as its IPv4 address `IP:PORT`."""
    return not text.startswith("[") and any(_packed_address(text))


def _packed_address(text: str) -> bytes:
    """Returns the IP address of an endpoint; empty if the text is none."""
    found = _ENDPOINT.fullmatch(text)
    if found is None or int(found[3]) > _MAX_PORT:
        return b""
    family = socket.AF_INET if found[2] is None else socket.AF_INET6
    try:
        return socket.inet_pton(family, found[2] or found[1])
    except OSError:
        return b""
