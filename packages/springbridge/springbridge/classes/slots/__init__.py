"""Which request gets a slot of an engine next: queues, schedulers and the limits of a batch."""
