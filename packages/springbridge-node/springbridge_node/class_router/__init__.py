"""``springbridge serve``: routes requests by class, driven by the operators' table."""
