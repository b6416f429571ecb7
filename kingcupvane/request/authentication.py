"""Keys of client accounts: how they are made and checked.

A key is `NAME_SECRET`. The configuration holds the SHA-256 of the whole key
under its name, so that a look-up by name is followed by one comparison in
constant time.
"""

import hashlib
import hmac
import secrets

from result import Err, Ok, Result

from kingcupvane.errors import Refusal, Step
from kingcupvane.version.configuration import Configuration

SCHEME = "bearer "
SECRET_BYTES = 24
SEPARATOR = "_"
UNAUTHORIZED = 401
PLACEHOLDER_HASH = "0" * 64


def generate_key(name: str) -> str:
    """Returns a new random key with the given name."""
    return f"{name}{SEPARATOR}{secrets.token_hex(SECRET_BYTES)}"


def hash_key(key: str) -> str:
    """Returns the hash under which the configuration holds a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str) -> str:
    """Returns the key in an `Authorization` header, or an empty string."""
    if not authorization.lower().startswith(SCHEME):
        return ""
    return authorization[len(SCHEME) :].strip()


def key_name(key: str) -> str:
    """Returns the public part of a key."""
    return key.rpartition(SEPARATOR)[0]


def authenticate(
    key: str, configuration: Configuration
) -> Result[str, Refusal]:
    """Finds the client account whose key was presented.

    Args:
        key: What the caller presented.
        configuration: The revision in force.

    Returns:
        The name of the account.
    """
    stored_key = configuration.keys_by_name.get(key_name(key))
    expected = stored_key.sha256 if stored_key else PLACEHOLDER_HASH
    matches = hmac.compare_digest(hash_key(key), expected)
    if stored_key and matches:
        return Ok(stored_key.account)
    return Err(
        Refusal(
            status=UNAUTHORIZED,
            reason="key-refused",
            detail="The key is missing, unknown or withdrawn.",
            step=Step.AUTHENTICATE,
        )
    )


def leaks_key(key: str, *, path: str, query: str, body: bytes) -> bool:
    """Returns whether a target would see the caller's key."""
    if not key:
        return False
    return key in path or key in query or key.encode() in body
