"""HTTP/1.1 on tornado's streams: towards endpoints, peers and the store, and small interfaces."""
