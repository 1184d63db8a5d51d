"""Reading of responses from other programs up to a limit."""

from aiohttp import ClientPayloadError, ClientResponse

#: Responses of the store and of other instances are far smaller: a page of the
#: store has about a megabyte.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class ResponseTooLargeError(ClientPayloadError):
    """A response has more bytes than its reader accepts."""

    code = 'response_too_large'


async def read_bounded(
    response: ClientResponse, max_bytes: int = MAX_RESPONSE_BYTES
) -> bytes:
    """Return the whole body, after decompression.

    Raises:
        ResponseTooLargeError: the body is longer; the connection is closed.
    """
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > max_bytes:
            # The error refers to this frame for as long as it is kept.
            body.clear()
            response.close()
            raise ResponseTooLargeError(
                f'[{ResponseTooLargeError.code}] over {max_bytes} bytes'
            )
    return bytes(body)
