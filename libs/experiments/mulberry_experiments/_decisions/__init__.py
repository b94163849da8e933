"""Measurements of the decisions, in one process and without a network."""
