"""Guards against locate problems that a caller cannot tell apart."""

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


def ask(path, document=READY, instances=(HOME,)):
    """Return what ``path`` is answered with, and the client's answer."""

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
                answer = await client.locate('redaccion', 'ana')
            except LocateRefusedError as error:
                answer = error.code
        await runner.cleanup()
        return response, body, answer

    return asyncio.run(asyncio.wait_for(call(), 20))


def test_an_answer_names_addresses_validity_and_generation():
    _, _, answer = ask('/v1/locate?service=redaccion&caller=ana')
    assert answer.addresses[0].address == HOME.proxy
    assert (answer.validity_ms, answer.generation) == (5000, 4)


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
def test_each_problem_has_its_code_and_status(
    query, document, instances, status, code
):
    response, body, _ = ask(f'/v1/locate?{query}', document, instances)
    assert response.status == status
    assert response.content_type == 'application/problem+json'
    assert f'"code":"{code}"' in body
    assert ('Retry-After' in response.headers) == (status == 503)


def test_the_client_reports_the_code_of_a_problem():
    assert ask('/healthz', Document())[2] == 'not_ready'
    assert ask('/healthz', instances=())[2] == 'no_home'


def test_requests_are_counted_in_the_metrics():
    ask('/v1/locate?service=x&caller=a')
    _, body, _ = ask('/metrics')
    assert 'crocus_locator_requests_total{code="service_unknown"}' in body
