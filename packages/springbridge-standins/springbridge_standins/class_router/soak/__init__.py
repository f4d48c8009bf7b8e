"""Soak of the class router: nodes and stand-ins run as processes under random faults."""
