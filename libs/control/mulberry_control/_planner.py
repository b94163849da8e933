"""Plans which engine loads which version, without I/O."""

import abc
import dataclasses
from collections.abc import Mapping, Sequence

from mulberry_control import _orders

ModelVersion = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class EngineState:
    """Input to the planner: the state of one engine."""

    name: str
    #: Loaded (model, version) pairs.
    versions: frozenset[ModelVersion]
    #: Largest number of concurrent requests.
    capacity: int
    #: Largest number of versions that fit in its memory.
    max_versions: int
    #: False if the engine must not get an order, for example while it is
    #: leaving or carries out another one.
    available: bool


@dataclasses.dataclass(frozen=True)
class PoolDemand:
    """Demand for one (model, version) pair."""

    #: Running and queued requests, averaged over some seconds.
    requests: float
    #: Whether the rules still allow new requests for the pair.
    live: bool


@dataclasses.dataclass(frozen=True)
class PlannedOrder:
    """An order for an engine."""

    engine: str
    kind: _orders.OrderKind
    model: str
    version: str
    reason: str


class LoadPlanner(abc.ABC):
    """Plans orders; keeps state between calls and gets the time passed."""

    @abc.abstractmethod
    def plan(
        self,
        engines: Sequence[EngineState],
        demand_by_pair: Mapping[ModelVersion, PoolDemand],
        max_loads: int,
        now_s: float,
    ) -> tuple[PlannedOrder, ...]:
        """Returns the orders to give now, the most urgent first.

        Args:
            engines: All engines.
            demand_by_pair: Demand; pairs without an entry have none.
            max_loads: Number of loads that the weight store allows now.
            now_s: Local time, seconds.
        """


def capacity_of(engines: Sequence[EngineState], pair: ModelVersion) -> float:
    """Returns the number of concurrent requests that a pair can have.

    The capacity of an engine is divided equally among its loaded versions.
    """
    return sum(
        engine.capacity / len(engine.versions)
        for engine in engines
        if pair in engine.versions
    )


class ThresholdLoadPlanner(LoadPlanner):
    """Baseline: loads as soon as demand exceeds capacity."""

    def plan(
        self,
        engines: Sequence[EngineState],
        demand_by_pair: Mapping[ModelVersion, PoolDemand],
        max_loads: int,
        now_s: float,
    ) -> tuple[PlannedOrder, ...]:
        """Loads each pair in shortage on the engine with fewest versions."""
        orders: list[PlannedOrder] = []
        assigned: set[str] = set()
        for pair, demand in sorted(demand_by_pair.items()):
            if len(assigned) >= max_loads:
                break
            has_shortage = demand.requests > capacity_of(engines, pair)
            available_engines = [
                engine
                for engine in engines
                if engine.available
                and engine.name not in assigned
                and pair not in engine.versions
            ]
            if not has_shortage or not demand.live or not available_engines:
                continue
            chosen = min(available_engines, key=lambda item: len(item.versions))
            assigned.add(chosen.name)
            orders += _orders_to_load(
                chosen, pair, min(chosen.versions, default=None)
            )
        return tuple(orders)


@dataclasses.dataclass(frozen=True)
class Hysteresis:
    """Thresholds that keep engines from switching back and forth."""

    #: Demand divided by capacity above which a pair has a shortage.
    shortage_threshold: float = 0.9
    #: A version may be unloaded from an engine if its demand divided by its
    #: remaining capacity is at most this.
    donor_threshold: float = 0.6
    #: Shortest duration of a shortage that causes a load, seconds. A load
    #: takes minutes, so that shorter ones would end before it helps.
    min_shortage_s: float = 15.0
    #: Shortest time between two loads on the same engine, seconds.
    min_hold_s: float = 300.0


DEFAULT_HYSTERESIS = Hysteresis()


class HysteresisLoadPlanner(LoadPlanner):
    """Loads versions on lasting shortages, evicting underused versions.

    A live pair that has demand but no engine is loaded immediately.
    """

    def __init__(self, bounds: Hysteresis = DEFAULT_HYSTERESIS) -> None:
        self._bounds = bounds
        self._shortage_since_s: dict[ModelVersion, float] = {}
        self._last_load_s: dict[str, float] = {}

    def plan(
        self,
        engines: Sequence[EngineState],
        demand_by_pair: Mapping[ModelVersion, PoolDemand],
        max_loads: int,
        now_s: float,
    ) -> tuple[PlannedOrder, ...]:
        """Returns the orders, the pair with the largest shortage first."""
        self._forget_departed(engines)
        orders: list[PlannedOrder] = []
        remaining = {engine.name: engine for engine in engines}
        for pair in self._pairs_with_shortage(engines, demand_by_pair, now_s):
            if max_loads <= 0:
                break
            planned = self._load(
                pair, list(remaining.values()), demand_by_pair, now_s
            )
            if not planned:
                continue
            name = planned[0].engine
            self._last_load_s[name] = now_s
            self._shortage_since_s.pop(pair, None)
            del remaining[name]
            orders += planned
            max_loads -= 1
        return tuple(orders)

    def _pairs_with_shortage(
        self,
        engines: Sequence[EngineState],
        demand_by_pair: Mapping[ModelVersion, PoolDemand],
        now_s: float,
    ) -> list[ModelVersion]:
        shortage_by_pair: dict[ModelVersion, float] = {}
        for pair, demand in demand_by_pair.items():
            capacity = capacity_of(engines, pair)
            has_shortage = (
                demand.live
                and demand.requests > capacity * self._bounds.shortage_threshold
            )
            if not has_shortage:
                self._shortage_since_s.pop(pair, None)
                continue
            since_s = self._shortage_since_s.setdefault(pair, now_s)
            if not capacity or now_s - since_s >= self._bounds.min_shortage_s:
                shortage_by_pair[pair] = demand.requests - capacity
        for pair in set(self._shortage_since_s) - set(demand_by_pair):
            del self._shortage_since_s[pair]
        return sorted(
            shortage_by_pair, key=lambda pair: (-shortage_by_pair[pair], pair)
        )

    def _load(
        self,
        pair: ModelVersion,
        engines: Sequence[EngineState],
        demand_by_pair: Mapping[ModelVersion, PoolDemand],
        now_s: float,
    ) -> list[PlannedOrder]:
        candidates: list[
            tuple[float, str, EngineState, ModelVersion | None]
        ] = []
        for engine in engines:
            last_load_s = self._last_load_s.get(engine.name, float("-inf"))
            may_change = now_s - last_load_s >= self._bounds.min_hold_s
            if (
                not engine.available
                or not may_change
                or pair in engine.versions
            ):
                continue
            if len(engine.versions) < engine.max_versions:
                candidates.append((0.0, engine.name, engine, None))
                continue
            for victim in engine.versions:
                utilization = _utilization_without(
                    engine, victim, engines, demand_by_pair
                )
                if utilization <= self._bounds.donor_threshold:
                    candidates.append(
                        (utilization, engine.name, engine, victim)
                    )
        if not candidates:
            return []
        _, _, chosen, evicted = min(candidates, key=lambda item: item[:2])
        return _orders_to_load(chosen, pair, evicted)

    def _forget_departed(self, engines: Sequence[EngineState]) -> None:
        names = {engine.name for engine in engines}
        for name in set(self._last_load_s) - names:
            del self._last_load_s[name]


def _utilization_without(
    engine: EngineState,
    victim: ModelVersion,
    engines: Sequence[EngineState],
    demand_by_pair: Mapping[ModelVersion, PoolDemand],
) -> float:
    """Returns the utilization of a pair if one engine unloads it."""
    demand = demand_by_pair.get(victim)
    if demand is None or not demand.live or not demand.requests:
        return 0.0
    others = [other for other in engines if other.name != engine.name]
    capacity = capacity_of(others, victim)
    return demand.requests / capacity if capacity else float("inf")


def _orders_to_load(
    engine: EngineState, pair: ModelVersion, victim: ModelVersion | None
) -> list[PlannedOrder]:
    orders = []
    if victim is not None and len(engine.versions) >= engine.max_versions:
        orders.append(
            PlannedOrder(
                engine.name,
                _orders.OrderKind.UNLOAD,
                *victim,
                reason=f"makes room for {pair[0]} {pair[1]}",
            )
        )
    orders.append(
        PlannedOrder(
            engine.name,
            _orders.OrderKind.LOAD,
            *pair,
            reason=f"demand for {pair[0]} {pair[1]} exceeds its capacity",
        )
    )
    return orders
