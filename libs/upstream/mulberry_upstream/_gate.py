"""Policy check immediately before a request is sent to an upstream."""

import dataclasses
import threading
from typing import Protocol

import mulberry_core as core
import mulberry_rules as rules

#: Maximum lifetime of a permit, seconds. Permits are used right after the
#: check; the limit keeps a thread that was suspended in between from sending
#: on the basis of an outdated check.
PERMIT_VALID_S = 0.5

#: Services that the router itself calls, independently of the rules.
PLATFORM_SERVICES = frozenset({"rater"})

_ISSUER_KEY = object()


class RulesView(Protocol):
    """The part of the state view that the gate uses."""

    @property
    def rules(self) -> rules.Rules | core.Missing:
        """The rules in force; unset until there are any."""


@dataclasses.dataclass(frozen=True)
class UpstreamTarget:
    """An upstream as last announced."""

    name: str
    #: `IP:PORT` or the URL of its root.
    address: str
    incarnation: int
    #: Whether it announced that it is leaving.
    leaving: bool
    #: Expiry of the announcement on the gate's clock.
    valid_until_s: float | core.Missing
    #: (model, version) pairs; empty for a plain service.
    serves: frozenset[tuple[str, str]] = frozenset()
    #: Service name; empty for an engine.
    service: str = ""


class SendPermit:
    """Single-use permission for one send; issued only by `SendGate`."""

    def __init__(
        self,
        issuer_key: object,
        upstream: UpstreamTarget,
        model: str,
        version: str,
        valid_until_s: float,
        clock: core.Clock,
    ) -> None:
        if issuer_key is not _ISSUER_KEY:
            raise TypeError("a SendPermit is issued by SendGate only")
        #: The upstream to which the request may be sent.
        self.upstream = upstream
        #: Model name, or the service name for a call of a plain service.
        self.model = model
        #: Empty for a plain service.
        self.version = version
        self._valid_until_s = valid_until_s
        self._clock = clock
        self._lock = threading.Lock()
        self._used = False

    def redeem(self) -> bool:
        """Redeems the permit; false if it was already used or has expired."""
        with self._lock:
            is_unused = not self._used
            self._used = True
        return is_unused and self._clock.now() < self._valid_until_s


class SendGate:
    """Enforces P1, P2 and P8 of the design page before each send."""

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock

    def check(
        self,
        view: RulesView,
        team: str,
        model: str,
        version: str,
        upstream: UpstreamTarget,
        lease_remaining_s: float,
        run_state: core.RunState = core.RunState.NOT_RUN,
    ) -> SendPermit | core.Refusal:
        """Checks one send of a chat request.

        Args:
            view: The newest view of this instance.
            team: Team of the caller.
            model: Model that will run the request.
            version: Version of the model.
            upstream: The chosen upstream.
            lease_remaining_s: Remaining time of the rules lease, seconds.
            run_state: Run state of the request (`SendRecord.run`).

        Returns:
            A permit for one send, or a refusal for the first failed check.
        """
        current = self._current_rules(view, lease_remaining_s)
        if isinstance(current, _Failure):
            return current.refusal(run_state)
        failure = (
            _check_version(current, team, model, version)
            or self._check_upstream(upstream)
            or _check_serves(upstream, model, version)
        )
        if failure:
            return failure.refusal(run_state)
        return self._issue(upstream, model, version, lease_remaining_s)

    def check_service(
        self,
        view: RulesView,
        team: str,
        service: str,
        upstream: UpstreamTarget,
        lease_remaining_s: float,
        run_state: core.RunState = core.RunState.NOT_RUN,
    ) -> SendPermit | core.Refusal:
        """Checks one call of a plain service; see `check`."""
        current = self._current_rules(view, lease_remaining_s)
        if isinstance(current, _Failure):
            return current.refusal(run_state)
        failure = _check_service(current, team, service) or (
            self._check_upstream(upstream)
        )
        if not failure and upstream.service != service:
            failure = _Failure(
                core.ErrorKind.NO_UPSTREAM,
                f"upstream {upstream.name} does not serve {service}",
            )
        if failure:
            return failure.refusal(run_state)
        return self._issue(upstream, service, "", lease_remaining_s)

    def check_platform(
        self, upstream: UpstreamTarget
    ) -> SendPermit | core.Refusal:
        """Checks a call by the router itself to a platform service.

        The rules of teams do not apply to platform services, so only the
        upstream is checked.
        """
        failure = self._check_upstream(upstream)
        if upstream.serves or upstream.service not in PLATFORM_SERVICES:
            failure = _Failure(
                core.ErrorKind.NOT_ALLOWED,
                f"{upstream.name} is not a platform service",
            )
        if failure:
            return failure.refusal(core.RunState.NOT_RUN)
        return self._issue(upstream, upstream.service, "", PERMIT_VALID_S)

    def _current_rules(
        self, view: RulesView, lease_remaining_s: float
    ) -> "rules.Rules | _Failure":
        if lease_remaining_s <= 0:
            return _Failure(
                core.ErrorKind.RULES_LEASE_EXPIRED,
                "the rules lease of this instance has expired",
            )
        if isinstance(view.rules, core.Missing):
            return _Failure(core.ErrorKind.NO_RULES, "no rules are in force")
        return view.rules

    def _check_upstream(self, upstream: UpstreamTarget) -> "_Failure | None":
        if upstream.leaving:
            return _Failure(
                core.ErrorKind.NO_UPSTREAM,
                f"upstream {upstream.name} is leaving",
            )
        until_s = upstream.valid_until_s
        if isinstance(until_s, float) and self._clock.now() >= until_s:
            return _Failure(
                core.ErrorKind.NO_UPSTREAM,
                f"the announcement of upstream {upstream.name} has expired",
            )
        return None

    def _issue(
        self,
        upstream: UpstreamTarget,
        model: str,
        version: str,
        lease_remaining_s: float,
    ) -> SendPermit:
        until_s = self._clock.now() + min(PERMIT_VALID_S, lease_remaining_s)
        return SendPermit(
            _ISSUER_KEY, upstream, model, version, until_s, self._clock
        )


@dataclasses.dataclass(frozen=True)
class _Failure:
    kind: core.ErrorKind
    reason: str

    def refusal(self, run: core.RunState) -> core.Refusal:
        return core.Refusal(self.kind, run, self.reason)


def _check_version(
    current: rules.Rules, team: str, model: str, version: str
) -> _Failure | None:
    if not current.allows(team, model, version):
        return _Failure(
            core.ErrorKind.NOT_ALLOWED,
            f"team {team} may not use {model} {version}",
        )
    if current.is_withdrawn(model, version):
        return _Failure(
            core.ErrorKind.VERSION_WITHDRAWN,
            f"{model} {version} is withdrawn",
        )
    return None


def _check_serves(
    upstream: UpstreamTarget, model: str, version: str
) -> _Failure | None:
    if (model, version) in upstream.serves:
        return None
    return _Failure(
        core.ErrorKind.NO_UPSTREAM,
        f"upstream {upstream.name} does not serve {model} {version}",
    )


def _check_service(
    current: rules.Rules, team: str, service: str
) -> _Failure | None:
    if service not in current.services_by_name:
        return _Failure(
            core.ErrorKind.UNKNOWN_SERVICE, f"no service {service} in the rules"
        )
    if not current.allows_service(team, service):
        return _Failure(
            core.ErrorKind.NOT_ALLOWED, f"team {team} may not use {service}"
        )
    return None
