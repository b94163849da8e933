"""Plans and sends engine orders, from one instance at a time."""

import collections
import threading
import uuid
from collections.abc import Callable, Mapping
from concurrent import futures

import mulberry_control as control
import mulberry_core as core
import mulberry_entry as entry
import mulberry_membership as membership
import mulberry_rules as rules
import mulberry_state as state

_PERIOD_S = 2.0
_LEASE_NAME = "engine-orders"

#: Number of versions that fit in the memory of one engine.
_MAX_VERSIONS_PER_ENGINE = 2

#: Largest number of concurrent loads; each takes minutes on a real engine.
_MAX_CONCURRENT_LOADS = 4

#: Planners by their name in the settings; `none` disables engine orders.
PLANNERS: Mapping[str, Callable[[], control.LoadPlanner]] = {
    "threshold": control.ThresholdLoadPlanner,
    "hysteresis": control.HysteresisLoadPlanner,
}


class EngineOrderController:
    """Runs the load planner on the leader of the replicated state.

    The leader has all recorded orders locally. Mutual exclusion comes from
    the lease and its fencing number, not from leadership.
    """

    def __init__(
        self,
        parts: entry.EntryComponents,
        node: state.StateNode,
        planner: control.LoadPlanner,
    ) -> None:
        self._parts = parts
        self._node = node
        self._planner = planner
        self._executor = control.OrderExecutor(
            control.ControlLease(
                parts.state,
                parts.clock,
                _LEASE_NAME,
                f"{parts.instance}/{uuid.uuid4().hex}",
            ),
            parts.state,
            control.StateMachineOrderJournal(
                lambda: node.replica.applier.machine
            ),
            control.HttpEngineClient(),
            parts.clock,
            parts.counters,
            control.WeightRateLimit(),
        )
        self._load_threads = futures.ThreadPoolExecutor(
            _MAX_CONCURRENT_LOADS, thread_name_prefix="engine orders"
        )
        self._lock = threading.Lock()
        self._busy_engines: set[str] = set()

    def start(self, tasks: core.TaskPool) -> None:
        """Plans orders every two seconds."""
        tasks.spawn("engine orders", self._run)

    def run_once(self) -> None:
        """Recovers unfinished orders, then plans and sends new ones."""
        if self._node.status().role != "leader":
            return
        if isinstance(self._executor.prepare(), core.Refusal):
            return
        targets = self._targets()
        self._executor.recover(targets, self._is_wanted)
        planned = self._planner.plan(
            self._engines(),
            self._demand(),
            min(_MAX_CONCURRENT_LOADS, self._executor.loads_available()),
            self._parts.clock.now(),
        )
        orders_by_engine = collections.defaultdict(list)
        for order in planned:
            orders_by_engine[order.engine].append(order)
        for name, orders in orders_by_engine.items():
            self._submit_orders(targets[name], orders)

    def _run(self, stop: threading.Event) -> None:
        is_sound = True
        while not stop.wait(_PERIOD_S):
            is_sound = core.run_step(
                "planning engine orders", self.run_once, is_sound
            )

    def _submit_orders(
        self, target: control.EngineTarget, orders: list[control.PlannedOrder]
    ) -> None:
        with self._lock:
            if target.name in self._busy_engines:
                return
            self._busy_engines.add(target.name)

        def send_orders() -> None:
            try:
                for planned in orders:
                    outcome = self._executor.execute(
                        target,
                        control.Order(
                            planned.kind,
                            planned.model,
                            planned.version,
                            control.new_order_id(),
                        ),
                    )
                    if outcome is not control.OrderOutcome.DONE:
                        # Without the unload, there is no room for the load.
                        return
            finally:
                with self._lock:
                    self._busy_engines.discard(target.name)

        self._load_threads.submit(send_orders)

    def _targets(self) -> dict[str, control.EngineTarget]:
        return {
            upstream.name: control.EngineTarget(
                name=upstream.name,
                address=upstream.address,
                checks_fencing=upstream.checks_fencing,
                versions=_served_versions(upstream),
            )
            for upstream in self._parts.directory.upstreams().values()
            if isinstance(upstream.service, core.Missing)
        }

    def _engines(self) -> list[control.EngineState]:
        with self._lock:
            busy = set(self._busy_engines)
        return [
            control.EngineState(
                name=upstream.name,
                versions=_served_versions(upstream),
                capacity=upstream.capacity,
                max_versions=_MAX_VERSIONS_PER_ENGINE,
                available=upstream.state is membership.UpstreamState.READY
                and upstream.name not in busy
                and self._executor.may_load(upstream.name),
            )
            for upstream in self._parts.directory.upstreams().values()
            if isinstance(upstream.service, core.Missing)
        ]

    def _demand(self) -> dict[tuple[str, str], control.PoolDemand]:
        """Sums the demand of all entries by model and version."""
        in_force = self._parts.state.view().rules
        if isinstance(in_force, core.Missing):
            return {}
        requests_by_pair: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        entries = membership.read_entries(self._parts.soft_state)
        for listed in entries.values():
            for model, version, requests in listed.wanted:
                requests_by_pair[(model, version)] += requests
        return {
            (model, defined.version): control.PoolDemand(
                requests_by_pair[(model, defined.version)],
                not defined.withdrawn,
            )
            for model, versions in in_force.versions_by_model.items()
            for defined in versions
        }

    def _is_wanted(
        self, target: control.EngineTarget, order: control.Order
    ) -> bool:
        """Whether the rules in force still allow the version of an order."""
        in_force = self._parts.state.view().rules
        return isinstance(in_force, rules.Rules) and not in_force.is_withdrawn(
            order.model, order.version
        )


def _served_versions(
    upstream: membership.Upstream,
) -> frozenset[tuple[str, str]]:
    return frozenset((item.model, item.version) for item in upstream.versions)
