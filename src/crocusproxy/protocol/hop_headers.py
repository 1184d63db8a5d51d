"""Hop-by-hop headers, which are never forwarded."""

from collections.abc import Iterable

#: Names of the headers that concern a single connection.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def listed_in_connection(
    raw_headers: Iterable[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Return the header names listed in Connection headers, in lower case."""
    listed: set[bytes] = set()
    for name, value in raw_headers:
        # The length of b'connection'; avoids lower() for most headers.
        if len(name) == 10 and name.lower() == b'connection':
            listed.update(part.strip().lower() for part in value.split(b','))
    return frozenset(listed)
