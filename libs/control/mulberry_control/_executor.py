"""Sends orders to engines while this process holds the lease."""

import dataclasses
import math
import threading
import uuid
from collections.abc import Callable, Mapping

from absl import logging

import mulberry_core as core
import mulberry_state as state
from mulberry_control import (
    _engine_client,
    _journal,
    _lease,
    _orders,
)

#: Largest clock skew between the wall clocks of two instances, seconds.
MAX_CLOCK_SKEW_S = 5.0
#: Timeout for recording an order in the replicated state, seconds.
_RECORD_TIMEOUT_S = 2.0

#: Whether an unfinished order of an earlier lease holder is still wanted.
StillWanted = Callable[[_orders.EngineTarget, _orders.Order], bool]


@dataclasses.dataclass(frozen=True)
class WeightRateLimit:
    """Rate limit of the weight store, across all lease holders."""

    #: Largest number of loads in one window.
    loads: int = 4
    #: Length of the window, seconds.
    window_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class _LastOrder:
    """The newest order of an engine."""

    order: _orders.Order
    is_open: bool
    #: Local time of the engine's last load or later, seconds; minus infinity
    #: if there was none.
    loaded_s: float


class OrderExecutor:
    """Sends orders under a lease and refuses those that must wait.

    Each refusal holds the time after which to retry; no method sleeps.
    `execute` may be called from several threads, one per engine, because a
    load takes minutes. Call `prepare` and `recover` from one thread only.
    """

    def __init__(
        self,
        lease: _lease.ControlLease,
        client: state.StateClient,
        journal: _journal.OrderJournal,
        engine_client: _engine_client.EngineClient,
        clock: core.Clock,
        counters: core.Counters,
        rate_limit: WeightRateLimit,
    ) -> None:
        self._lease = lease
        self._client = client
        self._journal = journal
        self._engine_client = engine_client
        self._clock = clock
        self._counters = counters
        self._rate_limit = rate_limit
        self._lock = threading.RLock()
        self._journal_fencing_number = 0
        self._last_order_by_upstream: dict[str, _LastOrder] = {}
        #: Local time until which an order without a response may still
        #: arrive, by engine.
        self._in_flight_until_s: dict[str, float] = {}
        #: Engines to which this process is sending an order.
        self._running: set[str] = set()

    def prepare(self) -> _lease.HeldLease | core.Refusal:
        """Acquires or renews the lease and reads the recorded orders."""
        held = self._lease.renew()
        if isinstance(held, core.Refusal):
            return held
        if held.fencing_number != self._journal_fencing_number:
            recorded = self._journal.orders(
                self._lease.name, held.fencing_number
            )
            if isinstance(recorded, core.Refusal):
                return recorded
            self._load_journal(held, recorded)
        return held

    def loads_available(self) -> int:
        """Returns how many loads the rate limit allows now."""
        recent = self._recent_loads(self._clock.now())
        return max(0, self._rate_limit.loads - len(recent))

    def may_load(self, engine: str) -> bool:
        """Whether the rate limit allows this engine to load now.

        Check this before an unload that makes room for a load.
        """
        return self._check_load_rate(engine, self._clock.now()) is None

    def unfinished_orders(self) -> Mapping[str, _orders.Order]:
        """Returns the orders without a recorded result, by engine."""
        with self._lock:
            return {
                name: last.order
                for name, last in self._last_order_by_upstream.items()
                if last.is_open and name not in self._running
            }

    def recover(
        self,
        targets_by_name: Mapping[str, _orders.EngineTarget],
        is_wanted: StillWanted,
    ) -> Mapping[str, _orders.OrderOutcome | core.Refusal]:
        """Finishes unfinished orders that are still wanted, reverts the others.

        Returns:
            The outcome or refusal of each order, by engine.
        """
        outcomes: dict[str, _orders.OrderOutcome | core.Refusal] = {}
        for name, order in self.unfinished_orders().items():
            target = targets_by_name.get(name)
            if target is None:
                # The engine crashed or left; a new process has nothing loaded.
                outcomes[name] = self._record_end(
                    name,
                    order,
                    state.OrderState.FAILED,
                    self._journal_fencing_number,
                )
                continue
            outcomes[name] = self._recover_one(target, order, is_wanted)
        return outcomes

    def execute(
        self, target: _orders.EngineTarget, order: _orders.Order
    ) -> _orders.OrderOutcome | core.Refusal:
        """Sends one order, or returns why it cannot be sent now."""
        with self._lock:
            last = self._last_order_by_upstream.get(target.name)
            if last is not None and last.is_open:
                return _retry_later(
                    f"an order to {target.name} is unfinished", 1.0
                )
            started = self._start_order(target, order)
        return self._send(target, order, started)

    def _recover_one(
        self,
        target: _orders.EngineTarget,
        order: _orders.Order,
        is_wanted: StillWanted,
    ) -> _orders.OrderOutcome | core.Refusal:
        wanted = is_wanted(target, order)
        is_loaded = (order.model, order.version) in target.versions
        if wanted and is_loaded and order.kind is _orders.OrderKind.LOAD:
            return self._record_end(
                target.name,
                order,
                state.OrderState.DONE,
                self._journal_fencing_number,
            )
        chosen: _orders.Order | core.Missing = core.Missing.UNSET
        if not wanted:
            chosen = _orders.inverse(order, new_order_id())
        if isinstance(chosen, core.Missing):
            chosen = dataclasses.replace(order, order_id=new_order_id())
        with self._lock:
            started = self._start_order(target, chosen)
        return self._send(target, chosen, started)

    def _start_order(
        self, target: _orders.EngineTarget, order: _orders.Order
    ) -> int | core.Refusal:
        """Reserves the engine for an order; the caller holds the lock.

        Returns:
            The fencing number to send with the order, or a refusal.
        """
        held = self._lease.held()
        if isinstance(held, core.Missing):
            return _lease.lease_lost("the lease is not held")
        if held.fencing_number != self._journal_fencing_number:
            return _lease.lease_lost(
                "the recorded orders have not been read yet"
            )
        refusal = self._refuse_if_too_early(target, order, held)
        if refusal is not None:
            return refusal
        self._update_last_order(target.name, order, is_open=True)
        self._running.add(target.name)
        return held.fencing_number

    def _send(
        self,
        target: _orders.EngineTarget,
        order: _orders.Order,
        fencing_number: int | core.Refusal,
    ) -> _orders.OrderOutcome | core.Refusal:
        if isinstance(fencing_number, core.Refusal):
            return fencing_number
        try:
            started = self._record(
                target.name, order, state.OrderState.BEGUN, fencing_number
            )
            if isinstance(started, core.Refusal):
                return started
            outcome = self._engine_client.send(
                target,
                order,
                fencing_number,
                lambda: self._lease.may_send(fencing_number),
            )
            return self._handle_outcome(target, order, outcome, fencing_number)
        finally:
            with self._lock:
                self._running.discard(target.name)

    def _handle_outcome(
        self,
        target: _orders.EngineTarget,
        order: _orders.Order,
        outcome: _orders.OrderOutcome,
        fencing_number: int,
    ) -> _orders.OrderOutcome:
        self._counters.increment(f"control.orders.{outcome.value}")
        logging.info(
            "order to %s %s %s at %s: %s",
            order.kind.value,
            order.model,
            order.version,
            target.name,
            outcome.value,
        )
        if outcome is _orders.OrderOutcome.UNKNOWN:
            with self._lock:
                self._in_flight_until_s[target.name] = (
                    self._clock.now() + _engine_client.MAX_IN_FLIGHT_S
                )
            return outcome
        done = outcome is _orders.OrderOutcome.DONE
        self._record_end(
            target.name,
            order,
            state.OrderState.DONE if done else state.OrderState.FAILED,
            fencing_number,
        )
        if outcome is _orders.OrderOutcome.OUTDATED:
            self._lease.drop()
        return outcome

    def _refuse_if_too_early(
        self,
        target: _orders.EngineTarget,
        order: _orders.Order,
        held: _lease.HeldLease,
    ) -> core.Refusal | None:
        now_s = self._clock.now()
        with self._lock:
            earliest_s = self._in_flight_until_s.get(target.name, now_s)
        if not target.checks_fencing and held.fencing_number > 1:
            # The previous holder checked its lease immediately before each
            # order, and that lease ended before this one was granted.
            earliest_s = max(
                earliest_s, held.granted_s + _engine_client.MAX_IN_FLIGHT_S
            )
        if earliest_s > now_s:
            return _retry_later(
                f"earlier orders to {target.name} may still arrive",
                earliest_s - now_s,
            )
        if order.kind is _orders.OrderKind.LOAD:
            return self._check_load_rate(target.name, now_s)
        return None

    def _check_load_rate(self, name: str, now_s: float) -> core.Refusal | None:
        """Applies the rate limit of the weight store.

        Only the last load of each engine is recorded. An engine therefore
        gets at most one load per window, so that the count is never too low,
        whichever holders sent the orders.
        """
        recent = self._recent_loads(now_s)
        if name in recent:
            return _retry_later(
                f"{name} has already loaded in this window", recent[name]
            )
        if len(recent) >= self._rate_limit.loads:
            return _retry_later(
                "the rate limit of the weight store is reached",
                sorted(recent.values())[len(recent) - self._rate_limit.loads],
            )
        return None

    def _recent_loads(self, now_s: float) -> dict[str, float]:
        """Returns for how long each recent load still counts, by engine."""
        with self._lock:
            return {
                upstream: last.loaded_s + self._rate_limit.window_s - now_s
                for upstream, last in self._last_order_by_upstream.items()
                if last.loaded_s + self._rate_limit.window_s > now_s
            }

    def _load_journal(
        self,
        held: _lease.HeldLease,
        recorded: tuple[_journal.RecordedOrder, ...],
    ) -> None:
        now_s, wall_s = self._clock.now(), self._clock.wall()
        with self._lock:
            self._last_order_by_upstream = {
                item.upstream: _LastOrder(
                    order=item.order,
                    is_open=item.state is state.OrderState.BEGUN,
                    loaded_s=_loaded_s(item, now_s, wall_s),
                )
                for item in recorded
            }
            self._journal_fencing_number = held.fencing_number
        logging.info(
            "acquired lease %s with fencing number %d; %d unfinished orders",
            self._lease.name,
            held.fencing_number,
            len(self.unfinished_orders()),
        )

    def _record_end(
        self,
        name: str,
        order: _orders.Order,
        final_state: state.OrderState,
        fencing_number: int,
    ) -> _orders.OrderOutcome | core.Refusal:
        """Records the result of an order, which stays open if that fails."""
        recorded = self._record(name, order, final_state, fencing_number)
        if isinstance(recorded, core.Refusal):
            return recorded
        self._update_last_order(name, order, is_open=False)
        if final_state is state.OrderState.DONE:
            return _orders.OrderOutcome.DONE
        return _orders.OrderOutcome.REJECTED

    def _record(
        self,
        name: str,
        order: _orders.Order,
        order_state: state.OrderState,
        fencing_number: int,
    ) -> state.OrderRecorded | core.Refusal:
        result = self._client.propose(
            state.RecordOrder(
                command_id=uuid.uuid4().hex,
                lease_name=self._lease.name,
                fencing_number=fencing_number,
                upstream=name,
                order=_orders.encode_order(order, self._loaded_wall_s(name)),
                state=order_state,
            ),
            _RECORD_TIMEOUT_S,
        )
        if isinstance(result, core.Refusal | state.OrderRecorded):
            return result
        if fencing_number == self._journal_fencing_number:
            self._lease.drop()
        return _lease.lease_lost("the lease was granted to another instance")

    def _update_last_order(
        self, name: str, order: _orders.Order, is_open: bool
    ) -> None:
        with self._lock:
            last = self._last_order_by_upstream.get(name)
            loaded_s = last.loaded_s if last else -math.inf
            if order.kind is _orders.OrderKind.LOAD:
                loaded_s = self._clock.now()
            self._last_order_by_upstream[name] = _LastOrder(
                order, is_open, loaded_s
            )

    def _loaded_wall_s(self, name: str) -> float:
        """Returns the Unix time of an engine's last load, 0 if long ago."""
        with self._lock:
            last = self._last_order_by_upstream.get(name)
        age_s = self._clock.now() - last.loaded_s if last else math.inf
        if age_s > self._rate_limit.window_s + MAX_CLOCK_SKEW_S:
            return 0.0
        return self._clock.wall() - age_s


def new_order_id() -> str:
    """Returns a unique order id."""
    return uuid.uuid4().hex


def _retry_later(reason: str, seconds: float) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.LIMIT_EXCEEDED, core.RunState.NOT_RUN, reason, seconds
    )


def _loaded_s(
    item: _journal.RecordedOrder, now_s: float, wall_s: float
) -> float:
    """Returns the local time of an engine's last load.

    Clock skew can make the result too late but never too early, so that no
    load stops counting before its window ends.
    """
    loaded_wall_s = item.loaded_wall_s
    if item.order.kind is _orders.OrderKind.LOAD:
        loaded_wall_s = item.wall_s
    if not loaded_wall_s:
        return -math.inf
    return now_s - max(0.0, wall_s - loaded_wall_s - MAX_CLOCK_SKEW_S)
