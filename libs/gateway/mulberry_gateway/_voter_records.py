"""Voter candidates and the first voters as soft-state records."""

from __future__ import annotations

import functools
import json
from collections.abc import Mapping
from typing import Annotated

import pydantic

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state

#: Limit of the first voters; more than any deployment has disks in its zones.
_MAX_FIRST_VOTERS = 1_000


def _check_address(address: str) -> str:
    if not membership.is_endpoint(address):
        raise ValueError("must be IP:PORT")
    return address


_Name = Annotated[str, pydantic.Field(min_length=1, max_length=512)]
_Address = Annotated[str, pydantic.AfterValidator(_check_address)]
_Candidate = tuple[_Address, _Name]
_Voters = Annotated[
    dict[_Name, _Address], pydantic.Field(max_length=_MAX_FIRST_VOTERS)
]
_STRICT = pydantic.ConfigDict(strict=True)


@functools.cache
def _candidate_adapter() -> pydantic.TypeAdapter[_Candidate]:
    return pydantic.TypeAdapter(_Candidate, config=_STRICT)


@functools.cache
def _voters_adapter() -> pydantic.TypeAdapter[dict[str, str]]:
    return pydantic.TypeAdapter(_Voters, config=_STRICT)


def encode_candidate(candidate: state.VoterCandidate) -> bytes:
    """Returns the payload of a `storage` record."""
    return json.dumps([candidate.address, candidate.identity]).encode()


def decode_candidate(
    record: membership.Record,
) -> state.VoterCandidate | core.Missing:
    """Returns the candidate of a record; unset if it cannot be decoded."""
    parsed = membership.parse_json(_candidate_adapter(), record.payload)
    if isinstance(parsed, core.Missing):
        return parsed
    return state.VoterCandidate(record.id, *parsed)


def encode_voters(candidates: Mapping[str, state.VoterCandidate]) -> bytes:
    """Returns the payload of the `founding` record."""
    return json.dumps(
        {name: candidate.address for name, candidate in candidates.items()}
    ).encode()


def decode_voters(
    record: membership.Record,
) -> Mapping[str, str] | core.Missing:
    """Returns the address by name of the first voters.

    Unset if the record cannot be decoded.
    """
    return membership.parse_json(_voters_adapter(), record.payload)
