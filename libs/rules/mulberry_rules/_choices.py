"""Names of the decision implementations that settings can select."""

from collections.abc import Mapping

#: Names by key of `policy` in the settings; the first is the default.
CHOICES_BY_POLICY: Mapping[str, tuple[str, ...]] = {
    "model_chooser": (
        "learned",
        "dearest",
        "cheapest",
        "two_step",
    ),
    "upstream_chooser": (
        "two_choices",
        "round_robin",
        "least_load",
        "two_random",
    ),
    "admission": ("priority", "first_come"),
    "version_judge": ("sequential", "error_threshold", "none"),
    "load_planner": ("none", "hysteresis", "threshold"),
}
