"""Generation and verification of client accounts' keys.

A key has the form `NAME_SECRET`. The configuration holds the SHA-256 of the
whole key under the name, so authentication is one look-up by name and one
comparison in constant time.
"""

import hashlib
import hmac
import secrets

from result import Err, Ok, Result

from kingcupvane.connection.request_body import Body
from kingcupvane.errors import Refusal, Step
from kingcupvane.version.configuration import Configuration

SCHEME = "bearer "
SECRET_BYTES = 24
SEPARATOR = "_"
UNAUTHORIZED = 401
# Compared for unknown names, so that timing does not reveal which names exist.
PLACEHOLDER_HASH = "0" * 64


def generate_key(name: str) -> str:
    """Returns a new random key with the given name."""
    return f"{name}{SEPARATOR}{secrets.token_hex(SECRET_BYTES)}"


def hash_key(key: str) -> str:
    """Returns the hash of a key that the configuration holds."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str) -> str:
    """Returns the key in an `Authorization` header, or an empty string."""
    if not authorization.lower().startswith(SCHEME):
        return ""
    return authorization[len(SCHEME) :].strip()


def key_name(key: str) -> str:
    """Returns the name in a key, its public part."""
    return key.rpartition(SEPARATOR)[0]


def authenticate(
    key: str, configuration: Configuration
) -> Result[str, Refusal]:
    """Authenticates a caller by its key.

    Args:
        key: The key that the caller presented; empty for none.
        configuration: The configuration in force.

    Returns:
        The name of the client account, or the refusal of the key.
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


def leaks_key(key: str, *, path: str, query: str, body: Body) -> bool:
    """Returns whether a request would reveal the caller's key to a target."""
    if not key:
        return False
    return key in path or key in query or key.encode() in body
