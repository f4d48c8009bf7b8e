"""Duties of the whole fleet that one node does at a time, under a fenced lease.

duty_platform    ports: the lease in the store, and the platform's duty calls
lease_keeper     takes, renews and hands on the lease
lease_candidates which nodes may take it, and get the counts
usage_sharing    counts this node's requests and tells the candidates
lease_content    what the holder keeps with the lease for its successors
usage_reporter   decides the reports and sends them
scaler           orders endpoints
duty_parts       joins these
"""
