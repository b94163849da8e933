"""Selects the version of a model for a request."""

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_rules as rules
import mulberry_state as state
from mulberry_entry import _components, _requests, _sessions


class VersionPicker:
    """Selects a version from rules, verdicts, rollouts and pins."""

    def __init__(self, components: _components.EntryComponents) -> None:
        self._components = components

    def pick(
        self,
        request: _requests.CallerRequest,
        work: decisions.Work,
        model: str,
    ) -> str | core.Refusal:
        """Returns the version; a session is pinned to it."""
        view = self._components.state.view()
        allowed = usable_versions(view, request.team, model)
        offer = version_offer(
            view, model, self._components.decisions.version_judge
        )
        if isinstance(offer, core.Refusal):
            return offer
        session = request.session
        pin: _sessions.Pin | core.Missing = core.Missing.UNSET
        if not isinstance(session, core.Missing):
            pin = self._components.pins.cached(request.team, session, model)
        version = self._components.decisions.version_chooser.choose(
            work,
            offer,
            allowed,
            pin if isinstance(pin, core.Missing) else pin.version,
        )
        if isinstance(version, core.Refusal):
            return version
        validator = _sessions.validator_of(view)
        if isinstance(session, core.Missing) or (
            pin == _sessions.Pin(version, validator)
        ):
            return version
        pinned = self._components.pins.pin(
            request.team, session, model, version, validator
        )
        return pinned if pinned in allowed else version


def version_offer(
    view: state.View, model: str, judge: decisions.VersionJudge
) -> decisions.VersionOffer | core.Refusal:
    """Returns the default version and, in a rollout, its target."""
    in_force = view.rules
    if isinstance(in_force, core.Missing):
        return _refuse(core.ErrorKind.NO_RULES, "no rules are in force")
    default = in_force.default_version(model)
    if isinstance(default, core.Missing):
        return _refuse(
            core.ErrorKind.VERSION_WITHDRAWN,
            f"every version of {model} is withdrawn",
        )
    rollout = in_force.rollouts_by_model.get(model)
    if rollout is None:
        return decisions.VersionOffer(model, default)
    target = rollout.to_version
    return decisions.VersionOffer(
        model=model,
        from_version=default,
        to_version=target,
        share=rollout_share(view, rollout),
        health=version_health(view, model, target),
        exposed=judge.exposed(model, target),
        max_exposed=rollout.max_exposed,
        proven=judge.is_proven(model, target, default),
    )


def usable_versions(view: state.View, team: str, model: str) -> frozenset[str]:
    """Returns the versions that may serve new requests of `team`."""
    if isinstance(view.rules, core.Missing):
        return frozenset()
    in_force = view.rules
    return frozenset(
        declared.version
        for declared in in_force.versions_by_model.get(model, ())
        if in_force.allows(team, model, declared.version)
        and not in_force.is_withdrawn(model, declared.version)
        and version_health(view, model, declared.version)
        is not decisions.VersionHealth.BAD
    )


def version_health(
    view: state.View, model: str, version: str
) -> decisions.VersionHealth:
    """Returns the health by the latest verdict; good without a verdict."""
    verdict = view.verdicts_by_version.get((model, version))
    if verdict is None:
        return decisions.VersionHealth.GOOD
    return decisions.VersionHealth(verdict.state.value)


def rollout_share(view: state.View, rollout: rules.Rollout) -> float:
    """Returns the share of new sessions routed to the target version."""
    step = view.rollout_steps_by_model.get(rollout.model)
    if step is None or step.to_version != rollout.to_version:
        return 0.0
    if not 0 <= step.step < len(rollout.steps):
        return 0.0
    return rollout.steps[step.step]


def _refuse(kind: core.ErrorKind, reason: str) -> core.Refusal:
    return core.Refusal(kind, core.RunState.NOT_RUN, reason)
