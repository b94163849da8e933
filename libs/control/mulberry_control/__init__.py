"""Orders to engines under a lease."""

from mulberry_control._engine_control import (
    IN_FLIGHT_S,
    EngineControl,
    HttpEngineControl,
    PlacedOrder,
)
from mulberry_control._executor import (
    OrderExecutor,
    WeightRate,
    new_order_id,
)
from mulberry_control._journal import (
    MachineOrderJournal,
    OrderJournal,
    RecordedOrder,
)
from mulberry_control._lease import ControlLease, HeldLease
from mulberry_control._orders import (
    EngineTarget,
    Order,
    OrderKind,
    OrderOutcome,
    decode_order,
    encode_order,
)
from mulberry_control._planner import (
    EngineState,
    Hysteresis,
    HysteresisLoadPlanner,
    LoadPlanner,
    PlannedOrder,
    PoolDemand,
    ThresholdLoadPlanner,
)

__all__ = [
    "IN_FLIGHT_S",
    "ControlLease",
    "EngineControl",
    "EngineState",
    "EngineTarget",
    "HeldLease",
    "HttpEngineControl",
    "Hysteresis",
    "HysteresisLoadPlanner",
    "LoadPlanner",
    "MachineOrderJournal",
    "Order",
    "OrderExecutor",
    "OrderJournal",
    "OrderKind",
    "OrderOutcome",
    "PlacedOrder",
    "PlannedOrder",
    "PoolDemand",
    "RecordedOrder",
    "ThresholdLoadPlanner",
    "WeightRate",
    "decode_order",
    "encode_order",
    "new_order_id",
]
