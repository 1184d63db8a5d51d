"""What the kernel knows of a connection before the program reads it."""

import socket

#: States of Linux in which the peer has not ended its direction.
_ESTABLISHED = 1


def has_peer_ended(connection: socket.socket) -> bool:
    """Return whether the peer has ended or reset the connection.

    That is known as soon as its end arrives, whether or not earlier bytes have
    been read.
    """
    state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] != _ESTABLISHED
