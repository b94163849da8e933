"""HTTP for callers and upstream announcements."""
