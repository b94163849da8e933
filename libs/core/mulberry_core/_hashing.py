"""Hashes that are equal in every process.

The built-in `hash` of a string differs between processes, so nothing that
instances must agree on may use it.
"""

import hashlib

import xxhash

_RING_BITS = 64


def digest128(data: bytes) -> str:
    """Returns the xxh3 128-bit digest of `data` as 32 hex digits."""
    return str(xxhash.xxh3_128_hexdigest(data))


def hash_key(key: str) -> str:
    """Returns the form in which rules, settings and tables hold a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def bucket(key: str, salt: str, buckets: int) -> int:
    """Maps `key` to one of `buckets` numbers, evenly and for ever the same.

    Args:
        key: What is placed, for example a session id.
        salt: Makes placements under different salts independent.
        buckets: How many buckets there are, at least one.
    """
    text = f"{salt}\x00{key}".encode()
    return int(xxhash.xxh3_64_intdigest(text) % buckets)


def digest32(data: bytes) -> int:
    """Returns the xxh3 digest of `data`, shortened to 32 bits."""
    return int(xxhash.xxh3_64_intdigest(data)) & 0xFFFF_FFFF


def ring_position(name: str) -> int:
    """Returns the place of `name` on the membership ring, 0 to 2**64 - 1."""
    return int(xxhash.xxh3_64_intdigest(name.encode())) % (1 << _RING_BITS)
