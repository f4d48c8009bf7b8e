"""The way of a request: admission, choice of endpoint, attempts, relay of the answer."""
