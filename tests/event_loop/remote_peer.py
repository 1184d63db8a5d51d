"""A peer that goes on while the loop of a test pauses."""

import socket
import threading
from contextlib import contextmanager, suppress

HEAD_END = b'\r\n\r\n'
BODY = b'in time'
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n' + BODY


def has_received_head(connection):
    """Return whether the whole head of a request arrives."""
    received = b''
    while HEAD_END not in received:
        part = connection.recv(65536)
        if not part:
            return False
        received += part
    return True


@contextmanager
def remote_peer(respond):
    """Serve connections with ``respond`` in threads, and yield the address.

    ``respond`` gets the connection once the head of a request has arrived.
    """
    listener = socket.create_server(('127.0.0.1', 0))

    def serve(connection):
        # A caller that gives up closes the connection.
        with connection, suppress(OSError):
            if has_received_head(connection):
                respond(connection)

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,)).start()

    thread = threading.Thread(target=accept)
    thread.start()
    try:
        yield f'127.0.0.1:{listener.getsockname()[1]}'
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()
