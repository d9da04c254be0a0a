"""Ciphers and secrets derived from the keys of the shared key set."""

from collections import abc
import hashlib
import hmac

from cryptography.hazmat.primitives import ciphers
from cryptography.hazmat.primitives.ciphers import algorithms, modes

from plantainproxy.config import model

RESET_TOKEN_BYTES = 16
COOKIE_BYTES = 8
MAX_RETIRED_KEYS = 4
"""Maximum number of keys kept to decrypt tickets after a rotation removed them."""


def _derive(secret: bytes, purpose: bytes, size_bytes: int) -> bytes:
    return hashlib.blake2b(purpose, key=secret, digest_size=size_bytes).digest()


class WorkingKey:
    """Ciphers and secrets derived from one key."""

    def __init__(self, key: model.Key) -> None:
        """Derive all ciphers and secrets, so that each use costs only one call."""
        cipher = ciphers.Cipher(
            algorithms.AES(_derive(key.secret, b"connection-id", 16)), modes.ECB()
        )
        self.number = key.number
        self.encrypt: abc.Callable[[bytes], bytes] = cipher.encryptor().update
        """Encrypts exactly one block of 16 bytes."""
        self.decrypt: abc.Callable[[bytes], bytes] = cipher.decryptor().update
        """Decrypts exactly one block of 16 bytes."""
        self.cookie = _derive(key.secret, b"tunnel", COOKIE_BYTES)
        """Proves to the receiver of a tunnel message that the sender is authentic."""
        self.reset_secret = _derive(key.secret, b"stateless-reset", 32)
        self.ticket_secret = _derive(key.secret, b"ticket", 32)

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token of a connection ID (RFC 9000, 10.3)."""
        digest = hmac.digest(self.reset_secret, connection_id, "sha256")
        return digest[:RESET_TOKEN_BYTES]


class Keyring:
    """All working keys of one key set."""

    def __init__(
        self, key_set: model.KeySet, *, previous: "Keyring | None" = None
    ) -> None:
        """Derive the working keys of a key set.

        ``previous`` is the keyring that this one replaces. Tickets encrypted with its
        keys remain readable after a rotation has removed those keys.
        """
        self.revision = key_set.revision
        self.by_number = {key.number: WorkingKey(key) for key in key_set.keys}
        self.current = self.by_number[key_set.current]
        """The key for new connection IDs, tickets and tunnel messages."""
        previous_keys = {} if previous is None else previous.ticket_keys
        retired = [
            key for key in previous_keys.values() if key.number not in self.by_number
        ]
        self.ticket_keys: dict[int, WorkingKey] = {
            key.number: key for key in retired[-MAX_RETIRED_KEYS:]
        }
        """Keys to decrypt tickets, including retired ones, oldest first.

        Retired keys are safe here: a forged ticket grants nothing that is not given to
        every caller.
        """
        self.ticket_keys.update(self.by_number)
        self.cookies = frozenset(key.cookie for key in self.by_number.values())
