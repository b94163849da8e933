"""Implementations of the decisions that settings can select."""

from collections.abc import Mapping

#: Names by key of `policy` in the settings.
CHOICES_BY_POLICY: Mapping[str, tuple[str, ...]] = {
    "model_chooser": (
        "learned",
        "always_dearest",
        "always_cheapest",
        "fixed_two_step",
    ),
    "upstream_chooser": (
        "two_choices",
        "round_robin",
        "least_load",
        "random_two_choices",
    ),
    "admission": ("priority", "first_come"),
    "version_judge": ("sequential", "fixed_percentage"),
}
