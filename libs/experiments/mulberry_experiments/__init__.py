"""Experiments, a load generator, the demo and randomised fault runs."""
