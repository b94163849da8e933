"""Maps faults of an attempt to error kinds and upstream health."""

from collections.abc import Callable, Mapping

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _upstream_call

#: Statuses that promise callers that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

#: Faults that are no evidence against the version that an upstream runs.
FAULTS_UNRELATED_TO_VERSION = _upstream_call.NOT_SENT | {
    _upstream_call.Fault.CALLER_GONE,
    _upstream_call.Fault.WITHDRAWN,
}

#: Faults after which the upstream may have restarted.
BROKEN_CONNECTIONS = _upstream_call.NOT_SENT | {
    _upstream_call.Fault.NO_ANSWER,
    _upstream_call.Fault.TRUNCATED,
    _upstream_call.Fault.LOST,
}

KIND_BY_FAULT = {
    _upstream_call.Fault.REFUSED: core.ErrorKind.UPSTREAM_REFUSED,
    _upstream_call.Fault.UNREACHABLE: core.ErrorKind.UPSTREAM_REFUSED,
    _upstream_call.Fault.NO_ANSWER: core.ErrorKind.UPSTREAM_FAILED,
    _upstream_call.Fault.TRUNCATED: core.ErrorKind.ANSWER_INCOMPLETE,
    _upstream_call.Fault.GARBLED: core.ErrorKind.ANSWER_INCOMPLETE,
    _upstream_call.Fault.EXCESSIVE: core.ErrorKind.ANSWER_INCOMPLETE,
    _upstream_call.Fault.SILENT: core.ErrorKind.DEADLINE_EXCEEDED,
    _upstream_call.Fault.LOST: core.ErrorKind.UPSTREAM_FAILED,
    _upstream_call.Fault.CALLER_GONE: core.ErrorKind.CALLER_GONE,
    _upstream_call.Fault.WITHDRAWN: core.ErrorKind.UPSTREAM_FAILED,
}


def _ignore(health: decisions.UpstreamHealth, name: str) -> None:
    del health, name


HEALTH_REPORT_BY_FAULT: Mapping[
    _upstream_call.Fault, Callable[[decisions.UpstreamHealth, str], None]
] = {
    _upstream_call.Fault.REFUSED: decisions.UpstreamHealth.unreachable,
    _upstream_call.Fault.UNREACHABLE: decisions.UpstreamHealth.unreachable,
    _upstream_call.Fault.NO_ANSWER: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.TRUNCATED: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.GARBLED: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.EXCESSIVE: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.SILENT: decisions.UpstreamHealth.failed,
    _upstream_call.Fault.LOST: decisions.UpstreamHealth.unreachable,
    _upstream_call.Fault.CALLER_GONE: _ignore,
    _upstream_call.Fault.WITHDRAWN: _ignore,
}


def not_run(kind: core.ErrorKind, reason: str) -> core.Refusal:
    """Returns a refusal of a request that was not sent."""
    return core.Refusal(kind, core.RunState.NOT_RUN, reason)
