"""Exchanges with the peers on the ring, and probes of other addresses."""

import dataclasses
import itertools
import threading
from collections.abc import Callable, Mapping

from absl import logging

import mulberry_core as core
from mulberry_membership import (
    _link,
    _members,
    _records,
    _ring,
    _store,
    _transport,
)

#: Number of closest ring peers that get the short idle period.
_NEAR_PEER_COUNT = 2
#: Minimum interval between the starts of two exchanges with one peer, seconds.
#: Urgent changes that follow each other closely are batched into one message.
MIN_EXCHANGE_INTERVAL_S = 0.02
#: Minimum interval per member, seconds. The rate of changes grows with the
#: number of members, but the rate of messages to a peer should not: with 200
#: members each peer gets at most five messages per second.
EXCHANGE_INTERVAL_PER_MEMBER_S = 0.001
#: Seconds between probes of addresses at which no live member is known.
PROBE_PERIOD_S = 1.0
#: Maximum number of tasks. The design scale of 330 instances needs ten: nine
#: links and the probe.
MAX_TASKS = 40

#: Receives the records of a response, with their times to live, and the name
#: of the peer.
RecordsCallback = Callable[[list[tuple[_records.Record, float]], str], None]


@dataclasses.dataclass(frozen=True)
class Timing:
    """Periods and timeouts of exchanges and failure detection, in seconds."""

    #: Between retries of a failed exchange with a peer, and between probes
    #: while no peer is known.
    exchange_period_s: float = 0.25
    #: Between idle exchanges with the two closest ring peers; short enough to
    #: detect a failure in time. Idle exchanges with all peers every 250 ms took
    #: 6.7 KB/s and 3.0 % of a core at 12 instances.
    near_idle_period_s: float = 0.5
    #: Between idle exchanges with the more distant peers, whose failures are
    #: detected by their own neighbours. Only a record that was lost on every
    #: other path is delayed by this period.
    far_idle_period_s: float = 4.0
    #: A peer is suspected after its exchanges have failed for this long.
    suspect_after_s: float = 1.0
    #: A suspected member is declared dead after this long without refutation.
    dead_after_s: float = 3.0

    @property
    def exchange_timeout_s(self) -> float:
        """Timeout of one exchange; two attempts fit into `suspect_after_s`."""
        return self.suspect_after_s / 2


DEFAULT_TIMING = Timing()


class Peers:
    """Runs one exchange task per ring peer, and one task for probes."""

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        seeds: tuple[str, ...],
        store: _store.RecordStore,
        transport: _transport.PeerTransport,
        clock: core.Clock,
        counters: core.Counters,
        timing: Timing,
        on_records: RecordsCallback,
        on_suspect: Callable[[str], None],
        on_exchanged: Callable[[], None],
    ) -> None:
        """Creates an instance's peers, initially without links.

        Args:
            name: Name of this instance.
            address: gRPC address of this instance.
            zone: Availability zone of this instance.
            seeds: Addresses of instances through which to join.
            store: Records of this instance.
            transport: Sends the exchanges.
            clock: Source of local time.
            counters: Receives `membership.*`.
            timing: Periods and timeouts.
            on_records: Called with the records that a peer has sent.
            on_suspect: Called with the name of a peer to suspect.
            on_exchanged: Called after each successful exchange.
        """
        self._name = name
        self._address = address
        self._zone = zone
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._store = store
        self._transport = transport
        self._clock = clock
        self._counters = counters
        self._timing = timing
        self._on_records = on_records
        self._on_suspect = on_suspect
        self._on_exchanged = on_exchanged
        self._lock = threading.Lock()
        self._min_interval_s = MIN_EXCHANGE_INTERVAL_S
        self._links_by_name: dict[str, _link.PeerLink] = {}
        self._probe_addresses: tuple[str, ...] = self._seeds
        self._probe_counter = itertools.count()
        self._pool: core.TaskPool | core.Missing = core.Missing.UNSET
        self._last_contact_s = clock.now()

    def start(self) -> None:
        """Starts the exchange and probe tasks."""
        with self._lock:
            self._pool = core.TaskPool(f"peers-{self._name}", MAX_TASKS)
            self._pool.spawn("probe", self._run_probes)
            for link in self._links_by_name.values():
                self._spawn(link)

    def stop(self) -> None:
        """Stops all tasks and waits until they have ended."""
        with self._lock:
            pool = self._pool
            self._pool = core.Missing.UNSET
            for link in self._links_by_name.values():
                link.close()
            self._links_by_name.clear()
        if not isinstance(pool, core.Missing):
            pool.stop()

    def update_links(
        self, get_members: Callable[[], Mapping[str, _members.Member]]
    ) -> None:
        """Updates links and probe addresses to match the members.

        Args:
            get_members: Returns the members. It is called with the lock held,
                so that of two threads the later one also uses the later
                members.
        """
        with self._lock:
            members = get_members()
            live_members = {
                name: member
                for name, member in members.items()
                if member.state is not _members.MemberState.DEAD
            }
            zone_by_name = {
                name: member.zone for name, member in live_members.items()
            }
            # This instance may be missing while it leaves.
            zone_by_name.setdefault(self._name, self._zone)
            wanted = {
                name: live_members[name].address
                for name in _ring.ring_peers(self._name, zone_by_name)
            }
            self._min_interval_s = max(
                MIN_EXCHANGE_INTERVAL_S,
                EXCHANGE_INTERVAL_PER_MEMBER_S * len(live_members),
            )
            known_addresses = self._set_probes(members, live_members)
            closed = self._close_unwanted(wanted)
            self._add_missing(wanted)
            self._set_idle_periods(wanted)
        for link in closed:
            if link.address not in known_addresses:
                self._transport.disconnect(link.address)

    def request_exchange(self, except_name: str = "") -> None:
        """Requests an exchange over all links except that to `except_name`."""
        for link in self._links():
            if link.name != except_name:
                link.request_exchange()

    def push(self, except_name: str = "") -> None:
        """Wakes all links except that to `except_name` to send changes."""
        for link in self._links():
            if link.name != except_name:
                link.wake()

    def record_contact(self) -> None:
        """Records the time of a successful exchange with any peer."""
        self._last_contact_s = self._clock.now()

    def isolated_s(self) -> float:
        """Returns the seconds since the last contact with any peer.

        Zero unless the exchanges over all links fail.
        """
        links = self._links()
        if not links or not all(link.failing for link in links):
            return 0.0
        return self._clock.now() - self._last_contact_s

    def run_once(self) -> None:
        """Runs one exchange over each link that is due, and one probe."""
        for link in self._links():
            if link.is_due():
                self.exchange(link)
        self.probe()

    def exchange(self, link: _link.PeerLink) -> bool:
        """Runs one exchange over a link; returns whether it succeeded."""
        sent = link.request(self._name)
        response = self._transport.exchange(
            link.address, sent.request, self._timing.exchange_timeout_s
        )
        self._counters.increment("membership.exchanges")
        self._counters.increment(
            "membership.records_out", len(sent.request.records)
        )
        self._counters.increment(
            "membership.bytes_out", sent.request.ByteSize()
        )
        if isinstance(response, core.Refusal):
            self._counters.increment("membership.exchange_failures")
            if link.record_failure(sent):
                logging.info(
                    "exchanges with %s fail since one that sent %d records in "
                    "%d bytes%s: %s",
                    link.name or link.address,
                    len(sent.request.records),
                    sent.request.ByteSize(),
                    " and asked for all" if sent.request.full else "",
                    response.reason,
                )
                # Finds out immediately whether all peers are unreachable.
                self.request_exchange(except_name=link.name)
            self._suspect_if_due(link)
            return False
        self._counters.increment("membership.bytes_in", response.ByteSize())
        self.record_contact()
        if link.failing:
            logging.info(
                "exchanges with %s succeed again: received %d records in %d "
                "bytes%s",
                link.name or link.address,
                len(response.records),
                response.ByteSize(),
                ", more follow" if response.more else "",
            )
        self._on_records(
            _link.decode_records(response, self._counters), link.name
        )
        link.record_success(response, sent)
        self._on_exchanged()
        return True

    def probe(self) -> bool:
        """Runs an exchange with one address at which no live member is known.

        Probes join the cluster at startup and reconnect the sides of a healed
        partition that have declared each other dead.

        Returns:
            Whether there was an address to probe.
        """
        addresses = self._probe_addresses
        if not addresses:
            return False
        address = addresses[next(self._probe_counter) % len(addresses)]
        link = _link.PeerLink("", address, self._store, self._clock)
        self.exchange(link)
        return True

    def _links(self) -> list[_link.PeerLink]:
        with self._lock:
            return list(self._links_by_name.values())

    def _close_unwanted(
        self, wanted: Mapping[str, str]
    ) -> list[_link.PeerLink]:
        closed = [
            link
            for name, link in self._links_by_name.items()
            if wanted.get(name) != link.address
        ]
        for link in closed:
            del self._links_by_name[link.name]
            link.close()
        return closed

    def _add_missing(self, wanted: Mapping[str, str]) -> None:
        for name, address in wanted.items():
            if name not in self._links_by_name:
                link = _link.PeerLink(name, address, self._store, self._clock)
                self._links_by_name[name] = link
                self._spawn(link)

    def _set_idle_periods(self, wanted: Mapping[str, str]) -> None:
        for position, name in enumerate(wanted):
            near = position < _NEAR_PEER_COUNT
            self._links_by_name[name].idle_period_s = (
                self._timing.near_idle_period_s
                if near
                else self._timing.far_idle_period_s
            )

    def _set_probes(
        self,
        members: Mapping[str, _members.Member],
        live_members: Mapping[str, _members.Member],
    ) -> set[str]:
        """Sets the probe addresses; returns those of all members and seeds."""
        live_addresses = {member.address for member in live_members.values()}
        live_addresses.add(self._address)
        all_addresses = {member.address for member in members.values()}
        all_addresses.update(self._seeds)
        self._probe_addresses = tuple(sorted(all_addresses - live_addresses))
        return all_addresses

    def _suspect_if_due(self, link: _link.PeerLink) -> None:
        if link.name and link.should_suspect(self._timing.suspect_after_s):
            link.start_suspicion_backoff()
            self._on_suspect(link.name)

    def _spawn(self, link: _link.PeerLink) -> None:
        if not isinstance(self._pool, core.Missing):
            self._pool.spawn(
                f"exchange with {link.name}",
                lambda stop: self._run_link(link, stop),
            )

    def _run_link(self, link: _link.PeerLink, stop: threading.Event) -> None:
        is_sound = True
        while not link.closed and not stop.is_set():
            if link.is_due():
                is_sound = self._run_logged(
                    f"exchange with {link.name}",
                    lambda: self.exchange(link),
                    is_sound,
                )
                if not is_sound:
                    stop.wait(self._timing.exchange_period_s)
                    continue
                stop.wait(self._min_interval_s)
            link.wait(
                self._timing.exchange_period_s
                if link.failing
                else link.idle_remaining_s()
            )

    def _run_probes(self, stop: threading.Event) -> None:
        is_sound = True
        while not stop.is_set():
            is_sound = self._run_logged("probe", self.probe, is_sound)
            is_joining = self._probe_addresses and not self._links()
            stop.wait(
                self._timing.exchange_period_s if is_joining else PROBE_PERIOD_S
            )

    def _run_logged(
        self, name: str, run: Callable[[], object], was_sound: bool
    ) -> bool:
        """Runs and counts one step of a task, see `core.run_step`."""
        is_sound = core.run_step(name, run, was_sound)
        if not is_sound:
            self._counters.increment("membership.tasks_failed")
        return is_sound
