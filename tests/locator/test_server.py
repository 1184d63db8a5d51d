"""Guards against locate problems that a caller cannot distinguish."""

import asyncio
from datetime import timedelta

import pytest
from aiohttp import ClientSession

from crocusproxy.application import Application, serve
from crocusproxy.config.model import Document, Service
from crocusproxy.locator.addresses import AddressResolver
from crocusproxy.locator.server import locator_application
from crocusproxy.membership.view import Instance, InstanceView
from crocusproxy.protocol.locate import LocateClient, LocateRefusedError

HOME = Instance(
    'i1', 'fd1', 'live', '127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3', ''
)
READY = Document(4, {'redaccion': Service('redaccion')})


def request(path, document=READY, instances=(HOME,)):
    """Return the response of ``path``, its body, and the client's result."""

    async def call():
        resolver = AddressResolver(('fd1',), timedelta(seconds=5))
        resolver.apply_document(document)
        resolver.apply_view(InstanceView(1, instances))
        admin = Application('crocus-locator').admin_routes()
        runner = await serve(
            locator_application(resolver, admin), '127.0.0.1', 0
        )
        host, port = runner.addresses[0][:2]
        async with ClientSession() as session:
            response = await session.get(f'http://{host}:{port}{path}')
            body = await response.text()
            client = LocateClient(session, f'{host}:{port}')
            try:
                client_result = await client.locate('redaccion', 'ana')
            except LocateRefusedError as error:
                client_result = error.code
        await runner.cleanup()
        return response, body, client_result

    return asyncio.run(asyncio.wait_for(call(), 20))


def test_response_contains_addresses_validity_and_generation():
    _, _, located = request('/v1/locate?service=redaccion&caller=ana')
    assert located.addresses[0].address == HOME.proxy
    assert (located.validity_ms, located.generation) == (5000, 4)


@pytest.mark.parametrize(
    ('query', 'document', 'instances', 'status', 'code'),
    [
        ('caller=a', READY, (HOME,), 400, 'parameter_missing'),
        ('service=&caller=a', READY, (HOME,), 400, 'parameter_missing'),
        ('service=redaccion', READY, (HOME,), 400, 'parameter_missing'),
        ('service=x&caller=a', READY, (HOME,), 404, 'service_unknown'),
        ('service=%ED%A0%80&caller=%FF', READY, (), 404, 'service_unknown'),
        ('service=x&caller=a', Document(), (HOME,), 503, 'not_ready'),
        ('service=redaccion&caller=%FF', READY, (), 503, 'no_home'),
    ],
)
def test_each_problem_has_a_specific_code_and_status(
    query, document, instances, status, code
):
    response, body, _ = request(f'/v1/locate?{query}', document, instances)
    assert response.status == status
    assert response.content_type == 'application/problem+json'
    assert f'"code":"{code}"' in body
    assert ('Retry-After' in response.headers) == (status == 503)


def test_the_client_reports_the_code_of_a_problem():
    assert request('/healthz', Document())[2] == 'not_ready'
    assert request('/healthz', instances=())[2] == 'no_home'


def test_requests_are_counted_by_problem_code():
    request('/v1/locate?service=x&caller=a')
    _, body, _ = request('/metrics')
    assert 'crocus_locator_requests_total{code="service_unknown"}' in body
