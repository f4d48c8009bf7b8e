"""Routing by host and path: which service, customer and endpoint serve a request, and when not."""
