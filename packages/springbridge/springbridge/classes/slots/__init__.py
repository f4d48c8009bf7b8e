"""Which request gets a slot of an endpoint next: queues, schedulers and the limits of a batch."""
