"""Simulated experiments on the decision policies."""
