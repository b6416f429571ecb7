"""Non-cryptographic hashes that spread names evenly; not for secrets."""

import xxhash


def stable_hash(text: str) -> int:
    """Returns a 64-bit hash of text that is the same in all processes."""
    return xxhash.xxh64_intdigest(text.encode())
