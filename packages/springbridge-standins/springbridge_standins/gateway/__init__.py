"""Stand-ins of the users' platform: store, endpoints (engines), duty calls and callers."""
