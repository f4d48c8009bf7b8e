"""A request on its way: admission, its home, its attempts and its answer."""
