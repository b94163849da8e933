"""The upstreams of each service, as this instance may use them."""

import dataclasses
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
import mulberry_membership as membership

#: How long an upstream stays in use after the instance that listed it was
#: lost; its announcements reach another instance within two of their periods.
#: Seconds.
RETAIN_S = 8.0


@dataclasses.dataclass(frozen=True)
class _Known:
    upstream: membership.Upstream
    #: `Clock.now` when it was last listed, seconds.
    listed_s: float


class UpstreamCatalog:
    """Lists upstreams by service; keeps those whose lister was lost.

    A lost control instance takes its records with it. Without this, a loss
    of many instances would leave the entries without any upstream although
    all upstreams run.
    """

    def __init__(
        self,
        directory: membership.UpstreamDirectory,
        soft_state: membership.SoftState,
        clock: core.Clock,
        log: core.DecisionLog,
    ) -> None:
        self._directory = directory
        self._soft_state = soft_state
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._source: Mapping[str, membership.Upstream] = {}
        self._known_by_name: dict[str, _Known] = {}
        self._by_service: dict[str, tuple[membership.Upstream, ...]] = {}

    def of(self, service: str) -> Sequence[membership.Upstream]:
        """Returns the upstreams of a service, leaving ones included."""
        source = self._directory.upstreams()
        with self._lock:
            if source is not self._source:
                self._rebuild(source)
            return self._by_service.get(service, ())

    def names(self) -> frozenset[str]:
        """Returns the names of all upstreams in use."""
        with self._lock:
            return frozenset(self._known_by_name)

    def _rebuild(self, source: Mapping[str, membership.Upstream]) -> None:
        now_s = self._clock.now()
        self._source = source
        for name, upstream in source.items():
            old = self._known_by_name.get(name)
            if old is None or old.upstream.state is not upstream.state:
                self._log.note(
                    "upstream",
                    name=name,
                    service=_service(upstream),
                    address=upstream.address,
                    state=upstream.state.value,
                    release=upstream.release,
                    incarnation=upstream.incarnation,
                    home=upstream.home,
                )
            self._known_by_name[name] = _Known(upstream, now_s)
        for name in [n for n in self._known_by_name if n not in source]:
            self._drop_unless_retained(name, now_s)
        by_service: dict[str, list[membership.Upstream]] = {}
        for known in self._known_by_name.values():
            by_service.setdefault(_service(known.upstream), []).append(
                known.upstream
            )
        self._by_service = {
            service: tuple(upstreams)
            for service, upstreams in by_service.items()
        }

    def _drop_unless_retained(self, name: str, now_s: float) -> None:
        known = self._known_by_name[name]
        record = self._soft_state.latest(membership.RecordKind.UPSTREAM, name)
        removed = not isinstance(record, core.Missing) and record.removed
        leaving = known.upstream.state is membership.UpstreamState.LEAVING
        if removed or leaving or now_s - known.listed_s > RETAIN_S:
            del self._known_by_name[name]
            self._log.note(
                "upstream",
                name=name,
                service=_service(known.upstream),
                state="removed" if removed else "lost",
                listed_age_s=round(now_s - known.listed_s, 2),
            )


def _service(upstream: membership.Upstream) -> str:
    service = upstream.service
    return "" if isinstance(service, core.Missing) else service
