"""Versions by the hash of the session."""

import mulberry_core as core
from mulberry_decisions import _versions, _work

#: Resolution of the share: one hundredth of a percent.
_BUCKETS = 10_000
#: Largest share of new sessions for a version on probation.
_MAX_PROBATION_SHARE = 0.01
#: Most requests for a version on probation until it has proved itself.
_MAX_PROBATION_REQUESTS = 30
#: Part of the allowed exposure at which new sessions stop; the rest is left
#: for further requests of the sessions that have the version.
_NEW_SESSIONS_FRACTION = 0.8


class SessionShare(_versions.VersionChooser):
    """Gives `to_version` to the sessions whose hash is below the share.

    The same sessions stay below a growing share, so a session that is not
    pinned yet does not go back and forth while the share moves.
    """

    def _choose(
        self, work: _work.Work, offer: _versions.VersionOffer
    ) -> str | core.Missing:
        if isinstance(offer.to_version, core.Missing) or _excludes_new_sessions(
            offer
        ):
            return offer.from_version
        share = offer.share
        if offer.health is _versions.VersionHealth.PROBATION:
            share = min(share, _MAX_PROBATION_SHARE)
        key = (
            work.content
            if isinstance(work.session, core.Missing)
            else (work.session)
        )
        salt = f"{offer.model}\x00{offer.to_version}"
        is_selected = core.bucket(key, salt, _BUCKETS) < share * _BUCKETS
        return offer.to_version if is_selected else offer.from_version


def _excludes_new_sessions(offer: _versions.VersionOffer) -> bool:
    """Whether no new session may meet `to_version`."""
    if offer.health is _versions.VersionHealth.BAD:
        return True
    if offer.proven:
        return False
    max_requests = offer.max_exposed
    if offer.health is _versions.VersionHealth.PROBATION:
        max_requests = (
            _MAX_PROBATION_REQUESTS
            if isinstance(max_requests, core.Missing)
            else min(max_requests, _MAX_PROBATION_REQUESTS)
        )
    if isinstance(max_requests, core.Missing):
        return False
    return offer.exposed >= max_requests * _NEW_SESSIONS_FRACTION
