"""Duties of the whole fleet that one node does at a time, under a fenced lease.

duty_platform    ports: the lease in the store, and the platform's duty calls
lease_keeper     acquires, renews and releases the lease
lease_candidates ranks the nodes that may hold it, which also receive the usage counts
usage_sharing    counts this node's requests and sends the counts to the candidates
duty_rows        encodes and decodes the datagrams about duties
lease_content    the state that the holder stores with the lease for later holders
usage_reporter   decides the usage reports and sends them
scaler           orders endpoints
duty_parts       assembles these
"""
