"""Framing and checksums of the files in the data folder.

A frame is a header of four big-endian 32-bit words (magic number, payload
length, payload checksum, checksum of the first three words) followed by the
payload. Each frame is synced before the next one is written, so only the last
frame of a file can be torn.
"""

import dataclasses
import struct
import zlib

from mulberry_state import _disk

_MAGIC = b"MbL1"
_HEADER = struct.Struct(">4sIII")


@dataclasses.dataclass(frozen=True)
class Frames:
    """The valid frames of a file."""

    payloads: tuple[bytes, ...]
    #: Total size of the frames in bytes; the file is longer if its tail is
    #: torn.
    size: int


def checksum_seed(identity: str, name: str) -> int:
    """Returns the initial value for the header checksums of one file.

    Payloads contain data sent by callers. Without a seed that callers do not
    know, a payload could contain a valid frame, and a torn tail would look
    like corruption.
    """
    return zlib.crc32(f"{identity}/{name}".encode())


def encode_frame(payload: bytes, seed: int = 0) -> bytes:
    """Returns the payload as a frame."""
    header = _MAGIC + struct.pack(">II", len(payload), zlib.crc32(payload))
    return header + struct.pack(">I", zlib.crc32(header, seed)) + payload


def read_frames(name: str, data: bytes, start: int, seed: int) -> Frames:
    """Reads the frames of a file from byte `start` up to a torn tail.

    Raises:
        StorageError: A valid frame follows an invalid one, so synced data is
            corrupt rather than the tail torn.
    """
    payloads = []
    offset = start
    while offset < len(data):
        payload = _payload_at(data, offset, seed)
        if payload is None:
            _reject_corruption(name, data, offset, seed)
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Frames(tuple(payloads), offset)


def read_first(data: bytes) -> bytes | None:
    """Returns the payload of the first frame, `None` if it is invalid.

    The first frame has no checksum seed.
    """
    return _payload_at(data, 0, 0)


def frame_size(payload: bytes) -> int:
    """Returns the size in bytes of a frame with this payload."""
    return _HEADER.size + len(payload)


def read_single(name: str, data: bytes) -> bytes:
    """Returns the payload of a file that consists of exactly one frame.

    Raises:
        StorageError: The file is corrupt. It cannot be torn, because it was
            synced before it was renamed into place.
    """
    payload = _payload_at(data, 0, 0)
    if payload is None or len(data) != _HEADER.size + len(payload):
        raise _disk.StorageError(f"file {name} is damaged")
    return payload


def _payload_at(data: bytes, offset: int, seed: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, length, payload_crc, header_crc = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if (
        magic != _MAGIC
        or zlib.crc32(data[offset : start - 4], seed) != header_crc
        or start + length > len(data)
    ):
        return None
    payload = data[start : start + length]
    return payload if zlib.crc32(payload) == payload_crc else None


def _reject_corruption(name: str, data: bytes, offset: int, seed: int) -> None:
    later = data.find(_MAGIC, offset + 1)
    while later >= 0:
        if _payload_at(data, later, seed) is not None:
            raise _disk.StorageError(
                f"file {name} is damaged at byte {offset}: a valid frame "
                f"follows at byte {later}"
            )
        later = data.find(_MAGIC, later + 1)
