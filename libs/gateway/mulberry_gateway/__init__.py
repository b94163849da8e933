"""Forwards requests of any host and path to upstreams, bytes unchanged."""

from mulberry_gateway._catalog import Catalog
from mulberry_gateway._connection import Connection, Ended
from mulberry_gateway._control import Control
from mulberry_gateway._dialect import (
    AnswerFacts,
    CallFacts,
    Dialect,
    PromptPart,
    SendFacts,
)
from mulberry_gateway._forwarder import Forwarder
from mulberry_gateway._instance import GatewayInstance
from mulberry_gateway._listener import Handler, Listener
from mulberry_gateway._messages import (
    Header,
    Request,
    Response,
    ResponseHead,
    end_to_end,
    find_header,
)
from mulberry_gateway._metrics import MetricsPage
from mulberry_gateway._model_choice import ModelChoice
from mulberry_gateway._pages import JSON, Page, Pages
from mulberry_gateway._parts import GatewayParts
from mulberry_gateway._placing import Placer
from mulberry_gateway._releases import Releases
from mulberry_gateway._request_reader import Malformed, RequestReader
from mulberry_gateway._rollout_watch import RolloutWatch
from mulberry_gateway._routing_book import RoutingBook
from mulberry_gateway._settings import GatewayBounds, GatewaySettings
from mulberry_gateway._suspects import Suspects

__all__ = [
    "JSON",
    "AnswerFacts",
    "CallFacts",
    "Catalog",
    "Connection",
    "Control",
    "Dialect",
    "Ended",
    "Forwarder",
    "GatewayBounds",
    "GatewayInstance",
    "GatewayParts",
    "GatewaySettings",
    "Handler",
    "Header",
    "Listener",
    "Malformed",
    "MetricsPage",
    "ModelChoice",
    "Page",
    "Pages",
    "Placer",
    "PromptPart",
    "Releases",
    "Request",
    "RequestReader",
    "Response",
    "ResponseHead",
    "RolloutWatch",
    "RoutingBook",
    "SendFacts",
    "Suspects",
    "end_to_end",
    "find_header",
]
