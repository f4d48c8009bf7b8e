"""Stand-ins that speak the users' platform: its store, its engines and its callers, with faults."""
