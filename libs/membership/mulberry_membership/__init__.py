"""Members, failure detection and soft state."""
