"""Test harness: an in-process entry with stand-in upstreams."""

import contextlib
import http.client
import json
import socket
import time
import urllib.request
from collections.abc import Mapping
from typing import Any

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_membership as membership
import mulberry_rules as rules
import mulberry_standins as standins
import mulberry_state as state
import mulberry_upstream as upstream

KEY = "key-of-team"
RULES = f"""
edited-from 0
team equipo key sha256:{entry.hash_key(KEY)}  # asked by test
model m cost 1.0 quality 0.9  # asked by test
model dear cost 10.0 quality 0.95  # asked by test
version m v1  # asked by test
version dear v1  # asked by test
allow equipo m  # asked by test
allow equipo dear  # asked by test
cascade both from m to dear quality 0.5  # asked by test
service taller  # asked by test
allow equipo service taller  # asked by test
service secreto  # asked by test
kind deposit call taller POST /deposits priority 1 deadline 5s once  # asked by test
kind stock call taller GET /stock/* priority 1 deadline 2s  # asked by test
"""


class Parser(state.RulesParser):
    """Parses rules with the rules library."""

    def parse(self, text: str) -> rules.Rules | tuple[str, ...]:
        """Returns the rules, or one message per error."""
        parsed = rules.parse_rules(text)
        if isinstance(parsed, rules.RuleErrors):
            return tuple(str(error) for error in parsed.errors)
        return parsed

    def diff(self, old: rules.Rules, new: rules.Rules) -> tuple[str, ...]:
        """Returns one message per change."""
        return rules.diff_rules(old, new)


class FailingState(state.LocalStateClient):
    """State client that refuses selected commands for lack of a quorum."""

    #: Command classes that are refused.
    failing: tuple[type[Any], ...] = ()

    def propose(
        self, command: state.Command, timeout_s: float
    ) -> state.Result | core.Refusal:
        """Applies a command unless its class is in `failing`."""
        if isinstance(command, self.failing):
            return core.Refusal(
                core.ErrorKind.QUORUM_UNAVAILABLE, core.RunState.NOT_RUN, "test"
            )
        return super().propose(command, timeout_s)


class Harness:
    """An entry on a free port, with stand-in upstreams on their own."""

    def __init__(
        self,
        limits: rules.Limits | None = None,
        hedge_policy: decisions.HedgePolicy | None = None,
    ) -> None:
        self._hedge_policy = hedge_policy or decisions.NoHedging()
        self.clock = core.SystemClock()
        self.counters = core.MemoryCounters()
        self.timers = core.TimerService(self.clock)
        self.timers.start()
        self.state = FailingState(Parser(), self.clock)
        accepted = self.state.propose(
            state.SubmitRules("1", RULES, 0, "test"), 1.0
        )
        assert isinstance(accepted, state.RulesAccepted), accepted
        self._soft_state = membership.LocalSoftState("entry", self.clock)
        self.directory = membership.UpstreamDirectory(
            self._soft_state, self.clock, self.counters
        )
        self._tasks = core.TaskPool("test", 8)
        self.components = self._build_components(limits or rules.Limits())
        self.app = entry.EntryApp(self.components)
        self._ports = standins.ReservedPorts(1)
        self._server = entry.HttpServer(
            self._ports.addresses[0],
            self.app,
            self.components.limits,
            self.timers,
        )
        self._server.start()
        self.address = self._server.address
        self.upstreams: dict[str, standins.Standin] = {}
        self._sequence = 0

    def add_engine(self, name: str, model: str = "m", **options: Any) -> None:
        """Starts an engine that serves version `v1` of a model."""
        settings: dict[str, Any] = {
            "tokens": 5,
            "tokens_per_s": 500.0,
            "first_token_ms": 1.0,
            "serves": ((model, "v1"),),
            **options,
        }
        self._add(
            standins.Options("engine", name=name, **settings),
            serves=[{"model": model, "version": "v1"}],
        )

    def add_service(self, name: str) -> None:
        """Starts an upstream of the service `taller`."""
        self._add(
            standins.Options("service", name=name, service="taller"),
            service="taller",
        )

    def announce(self, name: str, **changes: Any) -> None:
        """Announces an upstream for 30 s."""
        self._sequence += 1
        body = {
            "name": name,
            "address": self.upstreams[name].address,
            "incarnation": 1,
            "sequence": self._sequence,
            "state": "ready",
            "zone": "z",
            "capacity": 50,
            "load": {"running": 0, "queued": 0},
            "valid_s": 30.0,
            **changes,
        }
        reply = self.send("POST", "/v1/announcements", body, key="")
        assert reply[0] == 200, reply

    def set_faults(self, name: str, **faults: Any) -> None:
        """Replaces the injected faults of a stand-in."""
        request = urllib.request.Request(
            f"{self.upstreams[name].address}/faults",
            json.dumps(faults).encode(),
            {"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            assert answer.status == 200

    def runs(self) -> list[str]:
        """Returns the runs recorded by all upstreams."""
        listed: list[str] = []
        for standin in self.upstreams.values():
            with urllib.request.urlopen(
                f"{standin.address}/runs", timeout=5
            ) as answer:
                listed += json.load(answer)
        return listed

    def send(
        self,
        method: str,
        path: str,
        content: Any = None,
        headers: Mapping[str, str] | None = None,
        key: str = KEY,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request; returns status, headers and body."""
        host, port = self.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        body = content if isinstance(content, bytes) else b""
        if content is not None and not isinstance(content, bytes):
            body = json.dumps(content).encode()
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        if key:
            all_headers["Authorization"] = f"Bearer {key}"
        try:
            connection.request(method, path, body, all_headers)
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def chat(
        self,
        model: str = "m",
        stream: bool = False,
        headers: Mapping[str, str] | None = None,
        prompt: str = "hola",
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a chat request."""
        return self.send(
            "POST",
            "/v1/chat/completions",
            {
                "model": model,
                "stream": stream,
                "messages": [{"role": "user", "content": prompt}],
            },
            headers,
        )

    def send_raw(self, data: bytes, pause_s: float = 0.0) -> bytes:
        """Sends raw bytes; with a pause, one byte at a time."""
        host, port = self.address.split(":")
        with socket.create_connection((host, int(port)), 20) as connection:
            if not pause_s:
                connection.sendall(data)
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_WR)
            else:
                _send_slowly(connection, data, pause_s)
            received = b""
            while block := connection.recv(65536):
                received += block
            return received

    def stop(self) -> None:
        """Stops the entry and the stand-ins."""
        for standin in self.upstreams.values():
            standin.stop()
        self._server.stop()
        self._ports.close()
        self.components.ratings.stop()
        self._tasks.stop()
        self.timers.stop()

    def _add(self, options: standins.Options, **announced: Any) -> None:
        standin = standins.create(options)
        standin.start()
        self.upstreams[options.name] = standin
        self.announce(options.name, **announced)

    def _build_components(self, limits: rules.Limits) -> entry.EntryComponents:
        pool = upstream.HandlePool()
        gate = upstream.SendGate(self.clock)
        service = upstream.HttpServiceAdapter(pool)
        judge = decisions.VERSION_JUDGES["none"](self.clock)
        rater = entry.ServiceRater(self.directory, gate, service, self.counters)
        return entry.EntryComponents(
            instance="entry",
            zone="z",
            limits=limits,
            timing=rules.Timing(),
            clock=self.clock,
            timers=self.timers,
            counters=self.counters,
            state=self.state,
            soft_state=self._soft_state,
            directory=self.directory,
            decisions=entry.DecisionSet(
                decisions.MODEL_CHOOSERS["two_step"](self.clock),
                decisions.VERSION_CHOOSERS["session_share"](),
                judge,
                decisions.UPSTREAM_CHOOSERS["round_robin"](self.clock, "z"),
                decisions.ADMISSIONS["first_come"](
                    self.clock, limits.max_streams, limits.max_queue
                ),
                decisions.TEAM_LIMITERS["shared"](self.clock),
                decisions.RETRY_BUDGETS["unlimited"](self.clock),
                self._hedge_policy,
                decisions.CRASH_GUARDS["strikes"](self.clock),
            ),
            engine=upstream.ChatEngineAdapter(pool),
            service=service,
            gate=gate,
            biller=entry.Biller(self.state, self._tasks, self.counters),
            pins=entry.SessionPins(self.state, self.counters),
            rater=rater,
            ratings=entry.RatingQueue(rater, judge, self.counters),
            announce_key_hash=core.Missing.UNSET,
        )


def _send_slowly(
    connection: socket.socket, data: bytes, pause_s: float
) -> None:
    for index in range(len(data)):
        try:
            connection.sendall(data[index : index + 1])
        except OSError:
            return
        time.sleep(pause_s)
