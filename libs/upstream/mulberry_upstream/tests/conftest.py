"""Fixtures: stand-ins, rules that allow them, and requests to them."""

import dataclasses
import itertools
import json
import urllib.request
from collections.abc import Callable, Iterator
from typing import Any

import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_standins as standins
import mulberry_upstream as upstream

MODEL = "cedro"
VERSION = "2026-02"
SERVICE = "taller-app"
_LINE = rules.RuleLine(1, "", "the tests")
_UNSET = core.Missing.UNSET

_MaybeRules = rules.Rules | core.Missing

RULES = rules.Rules(
    edited_from=0,
    teams_by_name={},
    team_name_by_key_hash={},
    models_by_name={MODEL: rules.Model(MODEL, 1.0, 0.9, _LINE)},
    versions_by_model={
        MODEL: (
            rules.Version(MODEL, VERSION, False, _LINE),
            rules.Version(MODEL, "2026-03", False, _LINE),
            rules.Version(MODEL, "2025-12", True, _LINE),
        )
    },
    allowed_by_team={
        "coop": (
            rules.Allowance("coop", MODEL, _UNSET, _UNSET, _LINE),
            rules.Allowance("coop", _UNSET, _UNSET, SERVICE, _LINE),
        ),
        "pinned": (rules.Allowance("pinned", MODEL, VERSION, _UNSET, _LINE),),
    },
    cascades_by_name={},
    rollouts_by_model={},
    services_by_name={SERVICE: rules.Service(SERVICE, _LINE)},
    kinds_by_name={},
    limits_by_team={},
    lines_by_number={},
)


@dataclasses.dataclass(frozen=True)
class View:
    """The part of the state view that the gate uses."""

    rules: _MaybeRules = RULES


class Harness:
    """Sends requests to stand-ins through the gate."""

    rules = RULES

    def __init__(self) -> None:
        self.clock = core.SystemClock()
        self.gate = upstream.SendGate(self.clock)
        self.pool = upstream.HandlePool()
        self.chat = upstream.ChatEngineAdapter(self.pool)
        self.service = upstream.HttpServiceAdapter(self.pool)
        self.record = upstream.SendRecord()
        self.started: list[standins.Standin] = []
        self._ids = itertools.count(1)
        self.request_id = "request-0"

    def new_request(self) -> None:
        """Starts a new send record with a new request id."""
        self.record = upstream.SendRecord()
        self.request_id = f"request-{next(self._ids)}"

    def start(self, role: str = "engine", **options: Any) -> standins.Standin:
        """Starts a stand-in in this process."""
        fields = {
            "serves": ((MODEL, VERSION),),
            "service": SERVICE,
            "tokens": 8,
            "tokens_per_s": 1000.0,
            "first_token_ms": 1.0,
            "load_lag_s": 0.0,
            **options,
        }
        standin = standins.create(standins.Options(role, **fields))
        standin.start()
        self.started.append(standin)
        return standin

    def target(self, address: str) -> upstream.UpstreamTarget:
        """Returns an upstream that serves all test models and the service."""
        return upstream.UpstreamTarget(
            name="u1",
            address=address,
            incarnation=1,
            leaving=False,
            valid_until_s=core.Missing.UNLIMITED,
            serves=frozenset({(MODEL, VERSION), (MODEL, "2026-03")}),
            service=SERVICE,
        )

    def chat_request(
        self,
        address: str,
        streamed: bool = True,
        version: str = VERSION,
        content: str = "a plan",
        **fields: Any,
    ) -> upstream.ChatRequest:
        """Returns a chat request with a permit from the gate."""
        permit = self.gate.check(
            View(), "coop", MODEL, version, self.target(address), 5.0
        )
        assert isinstance(permit, upstream.SendPermit)
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "stream": streamed,
        }
        return upstream.ChatRequest(
            permit=permit,
            record=self.record,
            request_id=self.request_id,
            body=json.dumps(body).encode(),
            limits=fields.pop("limits", upstream.ExchangeLimits(30.0)),
            **fields,
        )

    def service_request(
        self,
        address: str,
        body: bytes = b'{"amount": 5}',
        **fields: Any,
    ) -> upstream.ServiceRequest:
        """Returns a service call with a permit from the gate."""
        permit = self.gate.check_service(
            View(), "coop", SERVICE, self.target(address), 5.0
        )
        assert isinstance(permit, upstream.SendPermit)
        return upstream.ServiceRequest(
            permit=permit,
            record=self.record,
            request_id=self.request_id,
            method="POST",
            path="/deposits",
            headers=["Content-Type: application/json"],
            body=body,
            limits=fields.pop("limits", upstream.ExchangeLimits(30.0)),
            **fields,
        )

    def stop(self) -> None:
        """Closes the handle pool and stops all stand-ins."""
        self.pool.close()
        for standin in self.started:
            standin.stop()


@pytest.fixture
def harness() -> Iterator[Harness]:
    created = Harness()
    created.new_request()
    yield created
    created.stop()


@pytest.fixture
def set_faults() -> Callable[..., None]:
    """Enables faults of a stand-in over HTTP, as the entry tests do."""

    def post(address: str, **faults: Any) -> None:
        urllib.request.urlopen(
            urllib.request.Request(
                f"{address}/faults", json.dumps(faults).encode()
            )
        ).close()

    return post
