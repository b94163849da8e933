"""Services that routes refer to."""

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
    """Properties shared by all engines of a service."""

    #: Number of requests that one engine runs concurrently.
    slots: int
    #: Capacity of the engine's cache in tokens.
    cache_tokens: int
    models_by_name: Mapping[str, EngineModel]


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of interchangeable upstreams."""

    name: str
    #: Maximum connections that one upstream accepts from all callers.
    max_connections: int | core.Missing = core.Missing.UNLIMITED
    health_path: str = "/"
    #: Unset for a service that runs no model.
    engine: Engine | core.Missing = core.Missing.UNSET
    #: For how long an upstream is cold after its start, seconds.
    cold_s: float = 0.0
    #: Requests a second that a cold upstream tolerates from all instances
    #: together.
    cold_rate_per_s: float | core.Missing = core.Missing.UNLIMITED
