"""Orders to engines under a lease."""
