"""Exchange of the rejection limits of services with other instances."""

from collections.abc import Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership

#: Part of the payload of an entry record with limits. Decoding the records of
#: all instances each second would take a noticeable share of a core.
_LIMITS_MARK = b'"rejection_limits": [['


class LimitExchange:
    """Publishes and receives rejection limits in the entry records.

    An instance without recent answers of a service learns its limit only from
    others. Of the instances that hear a limit, the first by name publishes it,
    so that few records change.
    """

    def __init__(
        self,
        soft_state: membership.SoftState,
        limiter: decisions.RejectionLimiter,
        log: core.DecisionLog,
    ) -> None:
        self._soft_state = soft_state
        self._limiter = limiter
        self._log = log

    def exchange(self) -> Sequence[tuple[str, int]]:
        """Applies the limits of others; returns those to publish.

        Must run at least every few seconds, as the limits of other instances
        expire.
        """
        own_name = self._soft_state.owner
        limit_by_service = dict(self._limiter.confirmed_limits())
        records = self._soft_state.records(membership.RecordKind.ENTRY)
        for record in records.values():
            if (
                record.owner == own_name
                or _LIMITS_MARK not in record.payload
                or self._soft_state.staleness_s(record.owner) > 0.0
            ):
                continue
            entry = membership.EntryState.decode(record.payload)
            if isinstance(entry, core.Missing):
                # The reader of the entry list reports it.
                continue
            for service, limit in entry.rejection_limits:
                if record.owner < own_name:
                    limit_by_service.pop(service, None)
                if self._limiter.heard_elsewhere(service, limit):
                    self._log.note(
                        "upstream",
                        keep=True,
                        service=service,
                        said="rejection_limit",
                        limit=limit,
                        heard_by=record.owner,
                    )
        return tuple(sorted(limit_by_service.items()))
