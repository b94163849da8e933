"""Services that routes name."""

import dataclasses
from collections.abc import Mapping

import mulberry_core as core


@dataclasses.dataclass(frozen=True)
class EngineModel:
    """One model that the engines of a service run."""

    name: str
    #: Price per 1,000 generated tokens; tokens read count as a quarter.
    cost: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """What all engines of a service have in common."""

    #: Requests that one engine runs at once.
    slots: int
    #: Tokens that its cache holds.
    cache_tokens: int
    models_by_name: Mapping[str, EngineModel]


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of interchangeable upstreams."""

    name: str
    #: Connections that one upstream accepts from all callers together.
    max_connections: int | core.Missing = core.Missing.UNLIMITED
    health_path: str = "/"
    #: Unset for a plain service.
    engine: Engine | core.Missing = core.Missing.UNSET
