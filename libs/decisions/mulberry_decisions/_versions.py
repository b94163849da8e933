"""Choice of a version during a rollout: interface and baselines."""

import abc
import dataclasses
import enum
import random
import threading
from collections.abc import Collection

import mulberry_core as core
from mulberry_decisions import _work


class VersionHealth(enum.Enum):
    """Last verdict on a version; values equal those of `state.VerdictState`."""

    GOOD = "good"
    PROBATION = "probation"
    BAD = "bad"


@dataclasses.dataclass(frozen=True)
class VersionOffer:
    """The versions of one model that the chooser selects from."""

    model: str
    #: Version of the sessions that are not part of the rollout.
    from_version: str
    #: Version that is rolled out; unset without a rollout.
    to_version: str | core.Missing = core.Missing.UNSET
    #: Share of new sessions that get `to_version`, 0 to 1.
    share: float = 0.0
    #: Last verdict on `to_version`.
    health: VersionHealth = VersionHealth.GOOD
    #: Requests sent to `to_version` since its last verdict.
    exposed: int = 0
    #: Maximum number of requests to `to_version` until it is proven.
    max_exposed: int | core.Missing = core.Missing.UNLIMITED
    #: Whether `to_version` is statistically not inferior to `from_version`.
    proven: bool = False


class VersionChooser(abc.ABC):
    """Chooses the version for a request; the caller pins sessions."""

    def choose(
        self,
        work: _work.Work,
        offer: VersionOffer,
        allowed: Collection[str],
        pinned: str | core.Missing,
    ) -> str | core.Refusal:
        """Chooses a version.

        Args:
            work: The request.
            offer: The versions of its model.
            allowed: Versions that the team may use and that are neither
                withdrawn nor judged bad.
            pinned: Version that the session is pinned to, if any.

        Returns:
            One of `allowed`, or a refusal of kind `VERSION_WITHDRAWN`.
        """
        if not isinstance(pinned, core.Missing) and pinned in allowed:
            return pinned
        preferred = self._choose(work, offer)
        for version in (preferred, offer.from_version, offer.to_version):
            if version in allowed and not isinstance(version, core.Missing):
                return version
        return core.Refusal(
            core.ErrorKind.VERSION_WITHDRAWN,
            core.RunState.NOT_RUN,
            f"no allowed version of {offer.model} is in use",
        )

    @abc.abstractmethod
    def _choose(
        self, work: _work.Work, offer: VersionOffer
    ) -> str | core.Missing:
        """Chooses for a request without a pin."""


class StableVersion(VersionChooser):
    """Always chooses `from_version`."""

    def _choose(
        self, work: _work.Work, offer: VersionOffer
    ) -> str | core.Missing:
        return offer.from_version


class FixedShare(VersionChooser):
    """Gives each request `to_version` at random, with the offered share."""

    def __init__(self, seed: int | None = None) -> None:
        self._lock = threading.Lock()
        self._random = random.Random(seed)

    def _choose(
        self, work: _work.Work, offer: VersionOffer
    ) -> str | core.Missing:
        with self._lock:
            is_selected = self._random.random() < offer.share
        return offer.to_version if is_selected else offer.from_version
