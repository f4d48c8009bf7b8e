"""The springbridge node process: adapters for callers, peers, engines and the platform."""
