"""Hashes with the same value in every process.

The built-in `hash` of a string differs between processes and must not be used
for values that instances have to agree on.
"""

import hashlib

import xxhash

_RING_BITS = 64


def digest128(data: bytes) -> str:
    """Returns the xxh3 128-bit digest of `data` as 32 hex digits."""
    return str(xxhash.xxh3_128_hexdigest(data))


def hash_key(key: str) -> str:
    """Returns the SHA-256 hash that rules, settings and tables store."""
    return hashlib.sha256(key.encode()).hexdigest()


def bucket(key: str, salt: str, buckets: int) -> int:
    """Maps `key` to a number below `buckets`, stable and evenly distributed.

    Args:
        key: The key, for example a session id.
        salt: Makes mappings with different salts independent.
        buckets: Number of buckets, at least 1.
    """
    text = f"{salt}\x00{key}".encode()
    return int(xxhash.xxh3_64_intdigest(text) % buckets)


def digest32(data: bytes) -> int:
    """Returns the low 32 bits of the xxh3 64-bit digest of `data`."""
    return int(xxhash.xxh3_64_intdigest(data)) & 0xFFFF_FFFF


def ring_position(name: str) -> int:
    """Returns the position of `name` on the membership ring, below 2**64."""
    return int(xxhash.xxh3_64_intdigest(name.encode())) % (1 << _RING_BITS)
