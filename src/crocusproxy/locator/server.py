"""HTTP frontend of the locator."""

from dataclasses import dataclass

from aiohttp import web
from prometheus_client import Counter

from ..errors import CrocusError
from ..protocol.codec import encode
from ..protocol.locate import LocateProblem
from .addresses import AddressResolver

_REQUESTS = Counter(
    'crocus_locator_requests',
    'Locate requests by the code of their problem, or ok.',
    ('code',),
)
_STATUS_BY_CODE = {  # noqa: WPS407 - read-only by convention
    'parameter_missing': 400,
    'service_unknown': 404,
    'not_ready': 503,
    'no_home': 503,
}
_TITLE_BY_CODE = {  # noqa: WPS407 - read-only by convention
    'parameter_missing': 'A query parameter is missing',
    'service_unknown': 'Unknown service',
    'not_ready': 'The locator is not ready',
    'no_home': 'No instance is live',
}
_UNAVAILABLE = 503
_RETRY_AFTER_SECONDS = '1'


class ParameterMissingError(CrocusError):
    """A locate request lacks a query parameter."""

    code = 'parameter_missing'


@dataclass(frozen=True, slots=True)
class LocateHandler:
    """Serves ``GET /v1/locate`` with an address resolver."""

    resolver: AddressResolver

    async def locate(self, request: web.Request) -> web.Response:
        """Respond with addresses or with a problem document."""
        try:
            located = self.resolver.locate(
                _parameter(request, 'service'),
                _parameter(request, 'caller'),
            )
        except CrocusError as error:
            return _problem(error)
        _REQUESTS.labels('ok').inc()
        return web.Response(
            body=encode(located),
            content_type='application/json',
        )


def locator_application(
    resolver: AddressResolver,
    admin_routes: list[web.RouteDef],
) -> web.Application:
    """Return the HTTP application for callers, with ``admin_routes``."""
    application = web.Application()
    application.router.add_get('/v1/locate', LocateHandler(resolver).locate)
    application.router.add_routes(admin_routes)
    return application


def _parameter(request: web.Request, name: str) -> str:
    text = request.query.get(name, '')
    if not text:
        raise ParameterMissingError(
            f'parameter {name!r} is missing; '
            'ask for /v1/locate?service=SERVICE&caller=CALLER'
        )
    return text


def _problem(error: CrocusError) -> web.Response:
    _REQUESTS.labels(error.code).inc()
    status = _STATUS_BY_CODE[error.code]
    problem = LocateProblem(
        error.code, _TITLE_BY_CODE[error.code], error.message
    )
    response = web.Response(
        body=encode(problem),
        status=status,
        content_type='application/problem+json',
    )
    if status == _UNAVAILABLE:
        response.headers['Retry-After'] = _RETRY_AFTER_SECONDS
    return response
