"""The gateway: the program that runs on the platform and routes requests by host and path.

gateway.py assembles the parts. A request passes through callers, requests and endpoints in turn;
peers, config, duties and http support them.
"""
