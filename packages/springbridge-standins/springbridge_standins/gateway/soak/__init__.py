"""Soak of the gateway: node processes under injected faults, with checks on every answer."""
