"""Connections that clients open: reads their requests within bounds, whatever the clients send.

All listeners of a gateway use it, so that none of them lacks a limit.
"""
