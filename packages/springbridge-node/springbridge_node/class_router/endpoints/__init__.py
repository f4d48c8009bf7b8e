"""Calls to endpoints, orders to them, and the schedulers that this node runs for them."""
