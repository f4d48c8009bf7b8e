"""Keeps the configuration and the endpoint list up to date, from the platform's store and peers."""
