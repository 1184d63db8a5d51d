"""Client of ``GET /v1/locate`` and the messages of its responses."""

from dataclasses import dataclass
from datetime import timedelta

from aiohttp import ClientError, ClientSession, ClientTimeout

from ..errors import NotReachableError
from .codec import decode

_OK = 200
_TIMEOUT = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class LocatedAddress:
    """An address for a caller's requests, in the form IP:port.

    ``older`` marks the load balancer that this system replaces, which still
    receives a share of the callers and whose failure domain is unknown.
    """

    address: str
    failure_domain: str = ''
    older: bool = False


@dataclass(frozen=True, slots=True)
class Located:
    """Addresses for one caller of a service, the nearest first.

    They are valid for ``validity_ms`` milliseconds from the caller's request.
    ``generation`` is that of the configuration they are derived from.
    """

    service: str
    generation: int
    validity_ms: int
    addresses: tuple[LocatedAddress, ...]


@dataclass(frozen=True, slots=True)
class LocateProblem:
    """Why a locator returned no addresses, as ``application/problem+json``.

    ``outcome`` is always ``not-run``, because a locator executes no requests.
    """

    code: str
    title: str
    detail: str
    outcome: str = 'not-run'


class LocateRefusedError(NotReachableError):
    """A locator replied with a problem; the error has the problem's code."""


@dataclass(frozen=True, slots=True)
class LocateClient:
    """Client of the locator at ``address``, of the form IP:port."""

    session: ClientSession
    address: str
    timeout: timedelta = _TIMEOUT

    async def locate(self, service: str, caller: str) -> Located:
        """Return the addresses of ``service`` for ``caller``.

        Raises:
            LocateRefusedError: the locator replied with a problem.
            NotReachableError: the locator did not respond.
            MalformedMessageError: the response has an unexpected form.
        """
        url = f'http://{self.address}/v1/locate'
        query = {'service': service, 'caller': caller}
        timeout = ClientTimeout(total=self.timeout.total_seconds())
        try:
            async with self.session.get(
                url, params=query, timeout=timeout
            ) as response:
                status = response.status
                body = await response.read()
        except (ClientError, TimeoutError) as error:
            raise NotReachableError(f'{url}: {error!r}') from error
        if status == _OK:
            return decode(Located, body)
        problem = decode(LocateProblem, body)
        raise LocateRefusedError(problem.detail, code=problem.code)
