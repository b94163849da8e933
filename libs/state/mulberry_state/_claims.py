"""Claims, which ensure that a call runs at most once."""

import dataclasses
from collections.abc import Iterable

from mulberry_state import _codec, _commands, _invariants, _ledger
from mulberry_wire import state_pb2

#: Callers resend within days; a settled claim answers resends for this long.
#: Open claims are kept until they are settled or released. Seconds.
CLAIM_RETENTION_S = 30 * 86_400.0


@dataclasses.dataclass(frozen=True)
class Claim:
    """A claim on a call; `answer` is set once the claim is settled."""

    team: str
    key: str
    body_digest: str
    kind: str
    request_id: str
    #: Instance that sends the call.
    entry: str
    #: Id of the command that was granted the claim.
    command_id: str
    answer: _commands.Answer | None = None
    #: Unix time of the settlement, seconds.
    settled_s: float = 0.0


class Claims:
    """Open and settled claims, at most one for each (team, key)."""

    def __init__(self) -> None:
        self._open_by_key: dict[str, Claim] = {}
        # Ordered by settlement time, so that expiry checks only the front.
        self._settled_by_key: dict[str, Claim] = {}

    def find(self, team: str, key: str) -> Claim | None:
        """Returns the claim under (team, key), or `None`."""
        claim_key = _ledger.scoped_key(team, key)
        return self._open_by_key.get(claim_key) or self._settled_by_key.get(
            claim_key
        )

    def grant(self, command: _commands.ClaimCall) -> None:
        """Opens a claim whose key is not in use."""
        claim_key = _ledger.scoped_key(command.team, command.key)
        _invariants.require(
            claim_key not in self._open_by_key
            and claim_key not in self._settled_by_key,
            f"request {command.request_id} was granted an existing claim",
        )
        self._open_by_key[claim_key] = Claim(
            team=command.team,
            key=command.key,
            body_digest=command.body_digest,
            kind=command.kind,
            request_id=command.request_id,
            entry=command.entry,
            command_id=command.command_id,
        )

    def settle(
        self, claim: Claim, answer: _commands.Answer, wall_s: float
    ) -> None:
        """Records the answer of an open claim."""
        claim_key = _ledger.scoped_key(claim.team, claim.key)
        _invariants.require(
            self._open_by_key.pop(claim_key, None) == claim
            and claim_key not in self._settled_by_key,
            f"settled claim of request {claim.request_id} was not open",
        )
        self._settled_by_key[claim_key] = dataclasses.replace(
            claim, answer=answer, settled_s=wall_s
        )

    def release(self, claim: Claim) -> None:
        """Drops an open claim."""
        claim_key = _ledger.scoped_key(claim.team, claim.key)
        _invariants.require(
            self._open_by_key.pop(claim_key, None) == claim,
            f"released claim of request {claim.request_id} was not open",
        )

    def expire(self, wall_s: float) -> None:
        """Drops settled claims past their retention."""
        while self._settled_by_key:
            claim_key, claim = next(iter(self._settled_by_key.items()))
            if claim.settled_s + CLAIM_RETENTION_S > wall_s:
                break
            del self._settled_by_key[claim_key]

    def open_claims(self) -> tuple[Claim, ...]:
        """Returns the claims whose outcome is not known yet."""
        return tuple(self._open_by_key.values())

    def write(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Copies the claims into a snapshot."""
        for claims in (self._open_by_key, self._settled_by_key):
            for claim in claims.values():
                _fill_claim(claim, snapshot.claims.add())

    def restore(self, messages: Iterable[state_pb2.Claim]) -> None:
        """Replaces the claims by those of a snapshot."""
        self._open_by_key = {}
        self._settled_by_key = {}
        for item in messages:
            claim = _read_claim(item)
            claim_key = _ledger.scoped_key(claim.team, claim.key)
            is_open = claim.answer is None
            target = self._open_by_key if is_open else self._settled_by_key
            target[claim_key] = claim


def _fill_claim(claim: Claim, target: state_pb2.Claim) -> None:
    for name in (
        "team",
        "key",
        "body_digest",
        "kind",
        "request_id",
        "entry",
        "command_id",
        "settled_s",
    ):
        setattr(target, name, getattr(claim, name))
    if claim.answer is not None:
        target.answer.SetInParent()
        _codec.fill(claim.answer, target.answer)


def _read_claim(source: state_pb2.Claim) -> Claim:
    return Claim(
        team=source.team,
        key=source.key,
        body_digest=source.body_digest,
        kind=source.kind,
        request_id=source.request_id,
        entry=source.entry,
        command_id=source.command_id,
        answer=(
            _codec.read(_commands.Answer, source.answer)
            if source.HasField("answer")
            else None
        ),
        settled_s=source.settled_s,
    )
