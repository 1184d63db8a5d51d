"""Guards against changes that are lost, doubled or decided twice."""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta
from pathlib import Path

import pytest
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from crocusproxy.clock import SystemClock
from crocusproxy.config.change import edits_between
from crocusproxy.config.model import Document
from crocusproxy.config.operator_document import read_operator_file
from crocusproxy.config.publisher import NotKnownYetError, Publisher
from crocusproxy.config.reader import StreamReader
from crocusproxy.config.verdict import Accepted, Rejected
from crocusproxy.errors import PlatformUnavailableError
from crocusproxy.platform_client import PlatformClient
from standins.platform import Platform

EXAMPLE = read_operator_file(Path('examples/redaccion.yaml'))


@asynccontextmanager
async def running_platform():
    platform = Platform()
    server = TestServer(platform.application())
    await server.start_server()
    async with ClientSession() as session:
        platform.client = PlatformClient(
            session, f'127.0.0.1:{server.port}', timedelta(milliseconds=500)
        )
        yield platform
    await server.close()


def publisher(platform, limit=5):
    return Publisher(platform.client, SystemClock(), timedelta(seconds=limit))


def run(test):
    async def with_platform():
        async with running_platform() as platform:
            await test(platform)

    asyncio.run(with_platform())


def test_a_document_is_published_once_and_not_again_if_nothing_differs():
    async def publish(platform):
        first = await publisher(platform).replace(EXAMPLE, 'ana')
        assert first.verdict == Accepted(1)
        assert await publisher(platform).replace(EXAMPLE, 'ana') is None
        assert platform.appends == 1

    run(publish)


def test_a_lost_append_response_gives_the_verdict_without_a_second_append():
    async def publish(platform):
        platform.faults.lose_answers = 1
        submission = await publisher(platform).replace(EXAMPLE, 'ana')
        assert submission.verdict == Accepted(1)
        assert platform.appends == 1

    run(publish)


def test_a_change_submitted_again_keeps_its_verdict_without_an_append():
    """A repeated click may reach another process, or come after a restart."""

    async def publish(platform):
        first = publisher(platform)
        change = first.change(edits_between(Document(), EXAMPLE), 0, 'ana')
        for writer in (first, publisher(platform)):
            assert (await writer.submit(change)).verdict == Accepted(1)
        assert platform.appends == 1

    run(publish)


def test_two_reads_at_once_fold_each_record_once():
    async def read(platform):
        await publisher(platform).replace(EXAMPLE, 'ana')
        reader = StreamReader(platform.client)
        seen = []
        reader.on_record.append(lambda stored, _: seen.append(stored.offset))
        await asyncio.gather(reader.poll(), reader.poll())
        assert seen == [0]

    run(read)


def test_of_two_operators_at_once_one_wins_and_the_other_gets_the_generation():
    async def publish(platform):
        writers = (publisher(platform), publisher(platform))
        results = await asyncio.gather(
            *(writer.replace(EXAMPLE, 'ana') for writer in writers)
        )
        verdicts = {result.verdict for result in results}
        assert verdicts == {Accepted(1), Rejected('generation_conflict', 1)}

    run(publish)


def test_a_submission_that_is_nowhere_to_be_found_is_reported_as_not_known():
    async def publish(platform):
        writer = publisher(platform, limit=0)
        with pytest.raises(NotKnownYetError):
            await writer.find('missing')

    run(publish)


def test_an_outage_before_the_append_is_reported_as_not_made():
    async def publish(platform):
        platform.faults.outage = True
        with pytest.raises(PlatformUnavailableError):
            await publisher(platform).replace(EXAMPLE, 'ana')
        assert platform.appends == 0

    run(publish)
