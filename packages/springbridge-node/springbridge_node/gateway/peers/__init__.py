"""Peers: who is alive, and what they know that this node does not."""
