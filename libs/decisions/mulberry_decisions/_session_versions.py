"""Choice of a version by the hash of the session."""

import mulberry_core as core
from mulberry_decisions import _versions, _work

#: Number of hash buckets; the resolution of the share is 0.01%.
_BUCKETS = 10_000
#: Maximum share of new sessions for a version on probation.
_MAX_PROBATION_SHARE = 0.01
#: Maximum number of requests to a version on probation until it is proven.
_MAX_PROBATION_REQUESTS = 30
#: Fraction of the allowed requests after which no new sessions get the version.
#: The rest is reserved for further requests of the sessions that have it.
_NEW_SESSIONS_FRACTION = 0.8


class SessionShare(_versions.VersionChooser):
    """Gives `to_version` to the sessions whose hash is below the share.

    A session below one share is also below every larger one, so a session
    that is not pinned yet does not alternate between the versions while the
    share grows.
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
    """Whether new sessions may not get `to_version`."""
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
