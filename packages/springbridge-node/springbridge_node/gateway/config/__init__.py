"""Keeps the configuration and the endpoint list fresh, from the platform's store and from peers."""
