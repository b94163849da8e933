"""Forwards requests for any host and path to upstreams, bytes unchanged."""

from mulberry_gateway._catalog import UpstreamCatalog
from mulberry_gateway._cold_reports import ColdReports
from mulberry_gateway._cold_upstreams import (
    ColdReason,
    ColdRules,
    ColdUpstreams,
)
from mulberry_gateway._components import GatewayComponents
from mulberry_gateway._connection import (
    Connection,
    ConnectionFailure,
    ConnectionStarter,
)
from mulberry_gateway._connection_pool import ConnectionPool
from mulberry_gateway._control import Control
from mulberry_gateway._dialect import (
    Dialect,
    ForwardingMetadata,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from mulberry_gateway._endpoints import JSON, Endpoint, EndpointHandler
from mulberry_gateway._engine_scheduling import EngineScheduling
from mulberry_gateway._evacuations import Evacuations
from mulberry_gateway._forwarder import Forwarder
from mulberry_gateway._instance import GatewayInstance
from mulberry_gateway._link_recorder import LinkRecorder
from mulberry_gateway._listener import Handler, Listener
from mulberry_gateway._messages import (
    Header,
    Request,
    Response,
    ResponseHead,
    end_to_end,
    find_header,
)
from mulberry_gateway._metrics import MetricsEndpoint
from mulberry_gateway._model_selection import ModelSelector
from mulberry_gateway._permit_exchange import (
    PermitsServicer,
    SharedPermitOwner,
    add_permits_service,
)
from mulberry_gateway._permit_granter import PermitGranter
from mulberry_gateway._permit_owner import LocalPermitOwner, PermitOwner
from mulberry_gateway._placement_exchange import (
    PlacementClient,
    PlacementsServicer,
    PlacementTicket,
    WorkLedgers,
    add_placements_service,
)
from mulberry_gateway._quarantine import RequestQuarantine
from mulberry_gateway._rate_gate import Admission, RateGate
from mulberry_gateway._regions import RegionPolicy
from mulberry_gateway._relay_server import RelayServer
from mulberry_gateway._relayed_connection import RelayedConnection
from mulberry_gateway._relays import PublishedRelays, Relay, RelaySource
from mulberry_gateway._request_reader import InvalidRequest, RequestReader
from mulberry_gateway._rollout_controller import RolloutController
from mulberry_gateway._rollout_filter import RolloutFilter
from mulberry_gateway._routing_table_store import RoutingTableStore
from mulberry_gateway._settings import (
    GatewayBounds,
    GatewaySettings,
    ProcessLimits,
)
from mulberry_gateway._upstream_connector import UpstreamConnector
from mulberry_gateway._upstream_paths import UpstreamConnection
from mulberry_gateway._upstream_selection import UpstreamSelector

__all__ = [
    "JSON",
    "Admission",
    "ColdReason",
    "ColdReports",
    "ColdRules",
    "ColdUpstreams",
    "Connection",
    "ConnectionFailure",
    "ConnectionPool",
    "ConnectionStarter",
    "Control",
    "Dialect",
    "Endpoint",
    "EndpointHandler",
    "EngineScheduling",
    "Evacuations",
    "Forwarder",
    "ForwardingMetadata",
    "GatewayBounds",
    "GatewayComponents",
    "GatewayInstance",
    "GatewaySettings",
    "Handler",
    "Header",
    "InvalidRequest",
    "LinkRecorder",
    "Listener",
    "LocalPermitOwner",
    "MetricsEndpoint",
    "ModelSelector",
    "PermitGranter",
    "PermitOwner",
    "PermitsServicer",
    "PlacementClient",
    "PlacementTicket",
    "PlacementsServicer",
    "ProcessLimits",
    "PromptPart",
    "PublishedRelays",
    "RateGate",
    "RegionPolicy",
    "Relay",
    "RelayServer",
    "RelaySource",
    "RelayedConnection",
    "Request",
    "RequestMetadata",
    "RequestQuarantine",
    "RequestReader",
    "Response",
    "ResponseHead",
    "ResponseMetadata",
    "RolloutController",
    "RolloutFilter",
    "RoutingTableStore",
    "SharedPermitOwner",
    "UpstreamCatalog",
    "UpstreamConnection",
    "UpstreamConnector",
    "UpstreamSelector",
    "WorkLedgers",
    "add_permits_service",
    "add_placements_service",
    "end_to_end",
    "find_header",
]
