"""The routing table: routes, services, teams and limits."""

from mulberry_routing._document_check import DocumentChecker, DocumentReport
from mulberry_routing._parser import RoutingErrors, RoutingParser
from mulberry_routing._routes import NO_ROUTE, Route, RouteKind
from mulberry_routing._services import Engine, EngineModel, Service
from mulberry_routing._table import (
    NO_KEY_REQUIRED,
    UNKNOWN_KEY,
    Limits,
    RoutingTable,
    Team,
)

__all__ = [
    "NO_KEY_REQUIRED",
    "NO_ROUTE",
    "UNKNOWN_KEY",
    "DocumentChecker",
    "DocumentReport",
    "Engine",
    "EngineModel",
    "Limits",
    "Route",
    "RouteKind",
    "RoutingErrors",
    "RoutingParser",
    "RoutingTable",
    "Service",
    "Team",
]
