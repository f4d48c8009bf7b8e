"""Coordination parts of the springbridge router, usable without its daemon.

Nothing in this package opens a socket or a file: callers pass in the time and carry the messages.
"""

__version__ = "0.1.0"
