"""Fingerprints: tells whether two requests ask for the same, whatever ids they came under.

A caller that tries again sends the same request under a new id. What identifies it is who asks and
what for: host, path with query, body. What differs between two tries does not count: the request's
id, its deadline, the event after which a stream goes on.

Bodies are large, so the hash is not cryptographic. A customer that wanted to could build two of its
own requests with one fingerprint; the customer's name is part of it.
"""

import xxhash


def fingerprint(*parts: bytes) -> str:
    """Return the fingerprint of a request from what identifies it, in an order that is kept.

    Returns:
      16 hexadecimal digits.
    """
    digest = xxhash.xxh3_64()
    for part in parts:
        # With the lengths no two lists of parts run together into the same bytes.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
