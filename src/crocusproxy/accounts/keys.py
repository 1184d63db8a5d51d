"""Digests of API keys."""

from hashlib import sha256

#: Enough to tell apart the keys of an account.
SHORT_DIGEST_CHARACTERS = 8


def key_digest(key: str) -> str:
    """Return the digest by which an API key is stored and found.

    >>> key_digest('k')[:12]
    '8254c329a928'
    """
    # Header values may contain bytes that are not valid UTF-8.
    return sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()


def short_digest(digest: str) -> str:
    """Return the part of a digest that is shown to operators.

    >>> short_digest(key_digest('k'))
    '8254c329'
    """
    return digest[:SHORT_DIGEST_CHARACTERS]
