"""HTTP/1.1 as this node speaks it to endpoints, peers and the platform, on tornado's streams."""
