"""The way of a request: admission, choice of engine, attempts, relay of the answer."""
