"""Request fingerprints, which identify retries of the same request under different ids.

A caller that retries sends the same request under a new id. The fingerprint covers the customer and
what is requested: host, path with query, body. It leaves out what differs between two attempts: the
request's id, its deadline, the event after which a stream resumes.

Bodies are large, so the hash is not cryptographic. A customer could construct two requests with the
same fingerprint, but only among its own, since the customer's name is part of it.
"""

import xxhash


def fingerprint(*parts: bytes) -> str:
    """Return the fingerprint of a request.

    Args:
      parts: What identifies the request; their order counts.

    Returns:
      16 hexadecimal digits.
    """
    digest = xxhash.xxh3_64()
    for part in parts:
        # The length prefix prevents different lists of parts from concatenating to the same bytes.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
