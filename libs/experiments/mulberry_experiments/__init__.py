"""Measurements, load generator and long randomised runs."""
