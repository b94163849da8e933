"""Stand-ins for upstreams and a relay that injects network faults."""

from mulberry_standins._answers import expected_text, extract_quality
from mulberry_standins._faults import NO_FAULTS, Faults
from mulberry_standins._main import create, main
from mulberry_standins._options import Options, parse_options
from mulberry_standins._ports import ReservedPorts
from mulberry_standins._raw_servers import (
    ENDLESS_ANSWERS,
    EndlessAnswer,
    serve_endless,
    serve_once,
)
from mulberry_standins._relay import Cut, Relay
from mulberry_standins._standin import Standin

__all__ = [
    "ENDLESS_ANSWERS",
    "NO_FAULTS",
    "Cut",
    "EndlessAnswer",
    "Faults",
    "Options",
    "Relay",
    "ReservedPorts",
    "Standin",
    "create",
    "expected_text",
    "extract_quality",
    "main",
    "parse_options",
    "serve_endless",
    "serve_once",
]
