"""Randomised fault injection runs of a deployment, with invariant checks."""
