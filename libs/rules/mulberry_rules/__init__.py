"""Rule file and settings: text to validated data."""

from mulberry_rules._model import (
    DEFAULT_KIND,
    Allowance,
    CallTarget,
    Cascade,
    ChatTarget,
    Kind,
    Limit,
    Model,
    Rollout,
    RuleLine,
    Rules,
    Service,
    Team,
    Version,
)
from mulberry_rules._settings import Limits, Policy, Settings, Timing, Tls

__all__ = [
    "DEFAULT_KIND",
    "Allowance",
    "CallTarget",
    "Cascade",
    "ChatTarget",
    "Kind",
    "Limit",
    "Limits",
    "Model",
    "Policy",
    "Rollout",
    "RuleLine",
    "Rules",
    "Service",
    "Settings",
    "Team",
    "Timing",
    "Tls",
    "Version",
]
