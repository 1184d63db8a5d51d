"""The exchange of a load probe with an upstream."""

from aiohttp.http import RawResponseMessage

from ..routes.model import RegisteredUpstream
from .header_names import HeaderNames
from .upstream_connection import MatchingConnection


async def exchange_probe(
    connection: MatchingConnection,
    entry: RegisteredUpstream,
    path: str,
    header_names: HeaderNames,
    timeout: float,
) -> RawResponseMessage:
    """Request the health ``path`` and return the head of the response.

    The whole response is due within ``timeout`` seconds.

    Raises:
        BrokenResponseError: no complete response arrived.
    """
    # A health response has no request id, so it is matched by the key of the
    # upstream.
    connection.id_header = header_names.upstream
    connection.last_request_id = entry.key
    request = f'GET {path} HTTP/1.1\r\nHost: {entry.address}\r\n\r\n'
    message = await connection.send(
        request.encode(), expects_body=True, timeout=timeout
    )
    if connection.payload is not None:
        await connection.read_body()
    return message
