"""Client for upstreams: adapters, answer validation and the send gate."""

from mulberry_core import SseSplitter
from mulberry_upstream._adapter import (
    ChatAnswer,
    ChatEngineAdapter,
    ChatOutcome,
    ChatRequest,
    ChatStream,
    EngineAdapter,
    Recovery,
)
from mulberry_upstream._checker import (
    AnswerChecker,
    Fault,
    Usage,
    Verdict,
    WholeAnswer,
    check_whole_answer,
)
from mulberry_upstream._exchange import ExchangeLimits
from mulberry_upstream._gate import (
    PERMIT_VALID_S,
    RulesView,
    SendGate,
    SendPermit,
    UpstreamTarget,
)
from mulberry_upstream._resume import Reopen, ReopenPlan, ResumingStream
from mulberry_upstream._send_record import (
    AttemptState,
    SendAttempt,
    SendRecord,
)
from mulberry_upstream._service import (
    HttpServiceAdapter,
    ServiceAdapter,
    ServiceAnswer,
    ServiceRequest,
)
from mulberry_upstream._transfer import HandlePool

__all__ = [
    "PERMIT_VALID_S",
    "AnswerChecker",
    "AttemptState",
    "ChatAnswer",
    "ChatEngineAdapter",
    "ChatOutcome",
    "ChatRequest",
    "ChatStream",
    "EngineAdapter",
    "ExchangeLimits",
    "Fault",
    "HandlePool",
    "HttpServiceAdapter",
    "Recovery",
    "Reopen",
    "ReopenPlan",
    "ResumingStream",
    "RulesView",
    "SendAttempt",
    "SendGate",
    "SendPermit",
    "SendRecord",
    "ServiceAdapter",
    "ServiceAnswer",
    "ServiceRequest",
    "SseSplitter",
    "UpstreamTarget",
    "Usage",
    "Verdict",
    "WholeAnswer",
    "check_whole_answer",
]
