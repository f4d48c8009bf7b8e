"""Routing by host and path: which service, customer and engine serve a request, and when not."""
