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
    """What is held of a version; values equal the state's verdicts."""

    GOOD = "good"
    PROBATION = "probation"
    BAD = "bad"


@dataclasses.dataclass(frozen=True)
class VersionOffer:
    """The versions of one model between which the chooser decides."""

    model: str
    #: Version that sessions get outside the rollout.
    from_version: str
    #: Version that is rolled out; unset outside a rollout.
    to_version: str | core.Missing = core.Missing.UNSET
    #: Share of new sessions that get `to_version`, 0 to 1.
    share: float = 0.0
    #: Standing of `to_version`.
    health: VersionHealth = VersionHealth.GOOD
    #: Requests that have met `to_version` since its last verdict.
    exposed: int = 0
    #: Requests that may meet it before it has proved itself.
    max_exposed: int | core.Missing = core.Missing.UNLIMITED
    #: Whether the evidence shows it to be as good as `from_version`.
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
            allowed: Versions that the team may use, that are not withdrawn
                and that are not held to be bad.
            pinned: Version that the session has, if it has one.

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
    """Always takes the version outside the rollout."""

    def _choose(
        self, work: _work.Work, offer: VersionOffer
    ) -> str | core.Missing:
        return offer.from_version


class FixedShare(VersionChooser):
    """Draws each request independently at the share of the step."""

    def __init__(self, seed: int | None = None) -> None:
        self._lock = threading.Lock()
        self._random = random.Random(seed)

    def _choose(
        self, work: _work.Work, offer: VersionOffer
    ) -> str | core.Missing:
        with self._lock:
            is_selected = self._random.random() < offer.share
        return offer.to_version if is_selected else offer.from_version
