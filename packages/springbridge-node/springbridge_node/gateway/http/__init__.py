"""HTTP/1.1: clients for endpoints, peers and the store, and servers of the small interfaces."""
