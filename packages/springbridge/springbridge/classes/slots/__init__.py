"""Slots of endpoints: schedulers, queues and concurrency limits, and the entry node's client."""
