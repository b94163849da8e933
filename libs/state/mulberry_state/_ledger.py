"""Ledger of bills and their running sums."""

import dataclasses
from collections.abc import Iterable, Iterator

from absl import logging

from mulberry_state import _codec, _commands, _invariants
from mulberry_wire import state_pb2

#: Each bill keeps a row for this long, so that a resend under the same key
#: finds it; afterwards only the sums remain. Seconds.
BILL_RETENTION_S = 30 * 86_400.0

_MICROS = 1_000_000
#: Highest cost of one bill, in the unit of the rule file. Higher ones, and those
#: that are no number, can only come from a faulty instance or upstream.
MAX_COST = 1e12
#: Sums stop here instead of leaving the range of the snapshot's fields.
_MAX_SUM = 2**63 - 1

SumKey = tuple[str, str, str, str]


@dataclasses.dataclass(frozen=True)
class LedgerSum:
    """Sum of the bills of one team, model, version and kind."""

    team: str
    model: str
    version: str
    kind: str
    bills: int = 0
    tokens_in: int = 0
    tokens_out: int = 0
    #: Millionths of the unit of cost.
    cost_micros: int = 0

    @property
    def cost(self) -> float:
        """Cost in the unit of the rule file."""
        return self.cost_micros / _MICROS


def scoped_key(team: str, key: str) -> str:
    """Returns a key that is unique across teams.

    The separator is unambiguous because names contain no zero byte.
    """
    return f"{team}\x00{key}"


class Ledger:
    """Bills by (team, key), with running sums.

    Rows are stored serialized: one object per bill takes several times the
    memory, and snapshots copy the rows unchanged.
    """

    def __init__(self) -> None:
        self._row_by_key: dict[str, bytes] = {}
        self._total_by_key: dict[SumKey, LedgerSum] = {}
        self._expired_total_by_key: dict[SumKey, LedgerSum] = {}
        self._expired_bills = 0
        self._total_bills = 0

    def __len__(self) -> int:
        return len(self._row_by_key)

    def find(self, team: str, key: str) -> state_pb2.BillRow | None:
        """Returns the row under (team, key), or `None`."""
        row = self._row_by_key.get(scoped_key(team, key))
        return None if row is None else state_pb2.BillRow.FromString(row)

    def record(self, bill: _commands.Bill, wall_s: float) -> None:
        """Adds a bill whose key is not in use."""
        key = scoped_key(bill.team, bill.key)
        _invariants.require(
            key not in self._row_by_key,
            f"request {bill.request_id} uses a key that is already billed",
        )
        row = state_pb2.BillRow(wall_s=wall_s, cost_micros=_cost_micros(bill))
        _codec.fill(bill, row.bill)
        self._row_by_key[key] = row.SerializeToString()
        self._total_bills += 1
        _add_to_sums(self._total_by_key, row)
        self._require_complete_sums()

    def expire(self, wall_s: float) -> None:
        """Drops rows past their retention and adds them to the expired sums."""
        while self._row_by_key:
            key, data = next(iter(self._row_by_key.items()))
            row = state_pb2.BillRow.FromString(data)
            if row.wall_s + BILL_RETENTION_S > wall_s:
                break
            del self._row_by_key[key]
            self._expired_bills += 1
            _add_to_sums(self._expired_total_by_key, row)
        self._require_complete_sums()

    def sums(self) -> tuple[LedgerSum, ...]:
        """Returns the sums, ordered by team, model, version and kind."""
        return tuple(
            self._total_by_key[key] for key in sorted(self._total_by_key)
        )

    def rows(self) -> Iterator[state_pb2.BillRow]:
        """Yields the retained rows, oldest first."""
        for data in list(self._row_by_key.values()):
            yield state_pb2.BillRow.FromString(data)

    def check(self) -> tuple[str, ...]:
        """Recomputes the sums and returns one sentence per difference."""
        recomputed = dict(self._expired_total_by_key)
        for row in self.rows():
            _add_to_sums(recomputed, row)
        return tuple(
            f"sum of {' '.join(key)} is {self._total_by_key.get(key)}, "
            f"its records give {recomputed.get(key)}"
            for key in sorted({*recomputed, *self._total_by_key})
            if recomputed.get(key) != self._total_by_key.get(key)
        )

    def write(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Copies the ledger into a snapshot."""
        snapshot.bills.extend(self._row_by_key.values())
        for target, sums in (
            (snapshot.totals, self._total_by_key),
            (snapshot.expired, self._expired_total_by_key),
        ):
            for item in sums.values():
                _codec.fill(item, target.add())

    def restore(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Replaces the ledger by that of a snapshot."""
        self._row_by_key = {}
        for data in snapshot.bills:
            bill = state_pb2.BillRow.FromString(data).bill
            self._row_by_key[scoped_key(bill.team, bill.key)] = data
        self._total_by_key = _read_sums(snapshot.totals)
        self._expired_total_by_key = _read_sums(snapshot.expired)
        self._total_bills = sum(s.bills for s in self._total_by_key.values())
        self._expired_bills = sum(
            s.bills for s in self._expired_total_by_key.values()
        )
        self._require_complete_sums()
        differences = self.check()
        _invariants.require(not differences, "; ".join(differences))

    def _require_complete_sums(self) -> None:
        _invariants.require(
            self._total_bills == len(self._row_by_key) + self._expired_bills,
            "the bill count of the sums differs from that of the rows",
        )


def _add_to_sums(sums: dict[SumKey, LedgerSum], row: state_pb2.BillRow) -> None:
    bill = row.bill
    key = (bill.team, bill.model, bill.version, bill.kind)
    old = sums.get(key) or LedgerSum(*key)
    sums[key] = LedgerSum(
        *key,
        bills=old.bills + 1,
        tokens_in=_bounded_sum(old.tokens_in, bill.tokens_in),
        tokens_out=_bounded_sum(old.tokens_out, bill.tokens_out),
        cost_micros=_bounded_sum(old.cost_micros, row.cost_micros),
    )


def _bounded_sum(total: int, added: int) -> int:
    """Returns the sum; the same in whatever order numbers are added."""
    return min(_MAX_SUM, total + max(0, added))


def _cost_micros(bill: _commands.Bill) -> int:
    """Returns the cost in millionths, limited to what the ledger can hold.

    Applying a record must never fail: it would fail on all voters, and again
    after each restart, since the record stays in the log.
    """
    cost = bill.cost if bill.cost > 0.0 else 0.0
    cost = min(cost, MAX_COST)
    if cost != bill.cost:
        logging.warning(
            "the cost %r of request %s is billed as %r",
            bill.cost,
            bill.request_id,
            cost,
        )
    return round(cost * _MICROS)


def _read_sums(
    messages: Iterable[state_pb2.LedgerSum],
) -> dict[SumKey, LedgerSum]:
    sums = [_codec.read(LedgerSum, item) for item in messages]
    return {(s.team, s.model, s.version, s.kind): s for s in sums}
