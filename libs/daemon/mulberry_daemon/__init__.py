"""The daemon mulberrystaged."""
