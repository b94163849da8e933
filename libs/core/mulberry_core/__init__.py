"""Code shared by all libraries of mulberrystage.

Error kinds and their answers, clocks, the timer service, hashing, counters,
tasks and the structured log.
"""

from mulberry_core._body_limits import BodyLimits
from mulberry_core._clock import Clock, ManualClock, SystemClock
from mulberry_core._counters import (
    BUCKETS_MS,
    Counters,
    Histogram,
    MemoryCounters,
    StatsdCounters,
)
from mulberry_core._decision_log import DecisionLog
from mulberry_core._errors import (
    ANSWER_BY_KIND,
    ErrorAnswer,
    ErrorKind,
    Refusal,
    RunState,
)
from mulberry_core._hashing import (
    bucket,
    digest32,
    digest128,
    hash_key,
    ring_position,
)
from mulberry_core._malloc import return_freed_memory, trim_heap
from mulberry_core._memory_budget import (
    BudgetLimits,
    MemoryAccount,
    MemoryBudget,
    MemoryUsage,
    Phase,
)
from mulberry_core._numbers import parse_count
from mulberry_core._on_demand import import_on_demand
from mulberry_core._process import end_process_after
from mulberry_core._sentinels import Missing
from mulberry_core._signals import call_on_hangup, call_on_termination
from mulberry_core._sse import SseSplitter
from mulberry_core._tasks import TaskPool, run_step
from mulberry_core._timers import Subscription, TimerService

__all__ = [
    "ANSWER_BY_KIND",
    "BUCKETS_MS",
    "BodyLimits",
    "BudgetLimits",
    "Clock",
    "Counters",
    "DecisionLog",
    "ErrorAnswer",
    "ErrorKind",
    "Histogram",
    "ManualClock",
    "MemoryAccount",
    "MemoryBudget",
    "MemoryCounters",
    "MemoryUsage",
    "Missing",
    "Phase",
    "Refusal",
    "RunState",
    "SseSplitter",
    "StatsdCounters",
    "Subscription",
    "SystemClock",
    "TaskPool",
    "TimerService",
    "bucket",
    "call_on_hangup",
    "call_on_termination",
    "digest32",
    "digest128",
    "end_process_after",
    "hash_key",
    "import_on_demand",
    "parse_count",
    "return_freed_memory",
    "ring_position",
    "run_step",
    "trim_heap",
]
