"""Choice of model, version and upstream; admission, limits, retries."""
