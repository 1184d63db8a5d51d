"""All methods of a socket that a transport or a server owns."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def borrowed_socket(
    owned: socket.socket | None,
) -> Iterator[socket.socket | None]:
    """Yield a socket of the same descriptor, or None if there is none.

    What uvloop returns as the socket of a transport lacks methods.
    """
    borrowed = None if owned is None else _borrow(owned)
    try:
        yield borrowed
    finally:
        if borrowed is not None:
            borrowed.detach()


def _borrow(owned: socket.socket) -> socket.socket | None:
    """Return None for a closed socket, which has no descriptor."""
    try:
        return socket.socket(
            owned.family, owned.type, owned.proto, fileno=owned.fileno()
        )
    except (OSError, ValueError):
        return None
