"""Parses and validates rule files and settings files."""

import typing

import mulberry_core as core

if typing.TYPE_CHECKING:
    from mulberry_rules._choices import (
        CHOICES_BY_POLICY,
    )
    from mulberry_rules._diff import (
        diff_rules,
    )
    from mulberry_rules._errors import (
        RuleError,
        RuleErrors,
    )
    from mulberry_rules._explain import (
        ExplainContext,
        ExplainStep,
        Explanation,
        explain,
    )
    from mulberry_rules._load_settings import (
        SettingsError,
        SettingsErrors,
        load_settings,
        parse_settings,
    )
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
    from mulberry_rules._parse import (
        EMPTY_RULES,
        parse_rules,
    )
    from mulberry_rules._rebase import (
        edited_from,
        rebase,
        same_content,
        with_edited_from,
    )
    from mulberry_rules._settings import (
        Limits,
        Policy,
        Settings,
        Timing,
        Tls,
    )
else:
    __getattr__ = core.import_on_demand(
        __name__,
        {
            "_choices": ("CHOICES_BY_POLICY",),
            "_diff": ("diff_rules",),
            "_errors": (
                "RuleError",
                "RuleErrors",
            ),
            "_explain": (
                "ExplainStep",
                "Explanation",
                "ExplainContext",
                "explain",
            ),
            "_load_settings": (
                "SettingsError",
                "SettingsErrors",
                "load_settings",
                "parse_settings",
            ),
            "_model": (
                "DEFAULT_KIND",
                "Allowance",
                "CallTarget",
                "Cascade",
                "ChatTarget",
                "Kind",
                "Limit",
                "Model",
                "Rollout",
                "RuleLine",
                "Rules",
                "Service",
                "Team",
                "Version",
            ),
            "_parse": (
                "EMPTY_RULES",
                "parse_rules",
            ),
            "_rebase": (
                "edited_from",
                "rebase",
                "same_content",
                "with_edited_from",
            ),
            "_settings": (
                "Limits",
                "Policy",
                "Settings",
                "Timing",
                "Tls",
            ),
        },
    )

__all__ = [
    "CHOICES_BY_POLICY",
    "DEFAULT_KIND",
    "EMPTY_RULES",
    "Allowance",
    "CallTarget",
    "Cascade",
    "ChatTarget",
    "ExplainContext",
    "ExplainStep",
    "Explanation",
    "Kind",
    "Limit",
    "Limits",
    "Model",
    "Policy",
    "Rollout",
    "RuleError",
    "RuleErrors",
    "RuleLine",
    "Rules",
    "Service",
    "Settings",
    "SettingsError",
    "SettingsErrors",
    "Team",
    "Timing",
    "Tls",
    "Version",
    "diff_rules",
    "edited_from",
    "explain",
    "load_settings",
    "parse_rules",
    "parse_settings",
    "rebase",
    "same_content",
    "with_edited_from",
]
