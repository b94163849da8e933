"""Sends orders to engines under a lease with fencing numbers."""

from mulberry_control._engine_client import (
    MAX_IN_FLIGHT_S,
    EngineClient,
    HttpEngineClient,
    ReceivedOrder,
)
from mulberry_control._executor import (
    OrderExecutor,
    WeightRateLimit,
    new_order_id,
)
from mulberry_control._journal import (
    OrderJournal,
    RecordedOrder,
    StateMachineOrderJournal,
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
    "MAX_IN_FLIGHT_S",
    "ControlLease",
    "EngineClient",
    "EngineState",
    "EngineTarget",
    "HeldLease",
    "HttpEngineClient",
    "Hysteresis",
    "HysteresisLoadPlanner",
    "LoadPlanner",
    "Order",
    "OrderExecutor",
    "OrderJournal",
    "OrderKind",
    "OrderOutcome",
    "PlannedOrder",
    "PoolDemand",
    "ReceivedOrder",
    "RecordedOrder",
    "StateMachineOrderJournal",
    "ThresholdLoadPlanner",
    "WeightRateLimit",
    "decode_order",
    "encode_order",
    "new_order_id",
]
