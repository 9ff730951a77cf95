"""Message authentication between instances by shared keys.

The first key signs, every key verifies. To rotate keys, add the new key last on every
instance, then move it to the front on every instance, then remove the old key.
"""

import hashlib
import hmac

import attrs

MAC_BYTES = 16
KEY_ID_BYTES = 4
MIN_KEY_CHARS = 16


@attrs.frozen(kw_only=True)
class Key:
    """A shared secret and the short id that signatures carry to name it."""

    key_id: bytes
    secret: bytes = attrs.field(repr=False)


class KeyRing:
    """The keys of one deployment.

    Parameters
    ----------
    secrets : list of str
        At least one, each of `MIN_KEY_CHARS` or more characters.

    Raises
    ------
    ValueError
        If there is no key, or one is too short.
    """

    def __init__(self, *, secrets: list[str]) -> None:
        if not secrets or any(len(s) < MIN_KEY_CHARS for s in secrets):
            raise ValueError(f"a peer key needs {MIN_KEY_CHARS} or more characters")
        self._keys = [_derive(secret) for secret in secrets]

    def sign(self, data: bytes) -> bytes:
        """Return the signature of `data`: key id and message authentication code."""
        key = self._keys[0]
        return key.key_id + _mac(key, data)

    def verify(self, data: bytes, signature: bytes) -> bool:
        """Return whether one of the keys signed `data`, compared in constant time."""
        key_id = signature[:KEY_ID_BYTES]
        mac = signature[KEY_ID_BYTES:]
        valid = False
        for key in self._keys:
            same_id = hmac.compare_digest(key.key_id, key_id)
            same_mac = hmac.compare_digest(_mac(key, data), mac)
            valid = valid or (same_id and same_mac)
        return valid


def _derive(secret: str) -> Key:
    digest = hashlib.blake2b(secret.encode(), person=b"mp-peer-key").digest()
    return Key(key_id=digest[:KEY_ID_BYTES], secret=digest[KEY_ID_BYTES:])


def _mac(key: Key, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=key.secret, digest_size=MAC_BYTES).digest()
