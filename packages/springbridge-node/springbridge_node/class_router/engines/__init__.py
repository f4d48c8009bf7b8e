"""Calls to engines, orders to them, and the schedulers that this node runs for them."""
