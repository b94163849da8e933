"""Stand-in engine, plain service, rater and weight store."""
