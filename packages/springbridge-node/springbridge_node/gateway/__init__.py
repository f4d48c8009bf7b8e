"""The gateway: the program that runs on the platform and routes requests by host and path.

gateway.py joins the parts; the folders follow a request's way: callers, requests, endpoints, with
peers, config and http beside them.
"""
