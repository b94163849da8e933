"""Long randomised runs of a deployment under faults, with their checks."""
