"""Versions by the hash of the session."""

import mulberry_core as core
from mulberry_decisions import _versions, _work

#: Resolution of the share: one hundredth of a percent.
_BUCKETS = 10_000
#: Largest share of new sessions for a version on probation.
_PROBATION_SHARE = 0.01
#: Most requests for a version on probation until it has proved itself.
_PROBATION_EXPOSED = 30
#: Part of the allowed exposure at which new sessions stop; the rest is left
#: for further requests of the sessions that have the version.
_SESSIONS_PART = 0.8


class SessionShare(_versions.VersionChooser):
    """Gives `to_version` to the sessions whose hash is below the share.

    The same sessions stay below a growing share, so a session that is not
    pinned yet does not go back and forth while the share moves.
    """

    def _choose(
        self, work: _work.Work, offer: _versions.VersionOffer
    ) -> str | core.Missing:
        if isinstance(offer.to_version, core.Missing) or _is_stopped(offer):
            return offer.from_version
        share = offer.share
        if offer.health is _versions.VersionHealth.PROBATION:
            share = min(share, _PROBATION_SHARE)
        key = (
            work.content
            if isinstance(work.session, core.Missing)
            else (work.session)
        )
        salt = f"{offer.model}\x00{offer.to_version}"
        below = core.bucket(key, salt, _BUCKETS) < share * _BUCKETS
        return offer.to_version if below else offer.from_version


def _is_stopped(offer: _versions.VersionOffer) -> bool:
    """Whether no new session may meet `to_version`."""
    if offer.health is _versions.VersionHealth.BAD:
        return True
    if offer.proven:
        return False
    bound = offer.max_exposed
    if offer.health is _versions.VersionHealth.PROBATION:
        bound = (
            _PROBATION_EXPOSED
            if isinstance(bound, core.Missing)
            else min(bound, _PROBATION_EXPOSED)
        )
    if isinstance(bound, core.Missing):
        return False
    return offer.exposed >= bound * _SESSIONS_PART
