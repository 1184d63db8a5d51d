"""Answer to ``GET /v1/locate`` and its client."""

from dataclasses import dataclass
from datetime import timedelta

from aiohttp import ClientError, ClientSession, ClientTimeout

from ..errors import NotReachableError
from .codec import decode

_OK = 200
_TIMEOUT = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class LocatedAddress:
    """Where a caller sends requests; ``address`` has the form IP:port.

    ``older`` marks the older balancer, whose failure domain is not known.
    """

    address: str
    failure_domain: str = ''
    older: bool = False


@dataclass(frozen=True, slots=True)
class Located:
    """Addresses for one caller of a service, the nearest first.

    The caller keeps them for ``validity_ms`` milliseconds from its request.
    ``generation`` is that of the configuration they follow from.
    """

    service: str
    generation: int
    validity_ms: int
    addresses: tuple[LocatedAddress, ...]


@dataclass(frozen=True, slots=True)
class LocateProblem:
    """Why a locator gave no addresses, as ``application/problem+json``.

    ``outcome`` is always ``not-run``, because a locator runs no request.
    """

    code: str
    title: str
    detail: str
    outcome: str = 'not-run'


class LocateRefusedError(NotReachableError):
    """A locator answered with a problem, whose code this error carries."""


@dataclass(frozen=True, slots=True)
class LocateClient:
    """Asks the locator at ``address``, of the form IP:port."""

    session: ClientSession
    address: str
    timeout: timedelta = _TIMEOUT

    async def locate(self, service: str, caller: str) -> Located:
        """Return the addresses of ``service`` for ``caller``.

        Raises:
            LocateRefusedError: the locator answered with a problem.
            NotReachableError: the locator did not answer.
            MalformedMessageError: the answer has another form.
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
