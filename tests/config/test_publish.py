"""Guards against changes that are lost, doubled or decided twice."""

import asyncio
from pathlib import Path

import pytest

from crocusproxy.config.change import edits_between
from crocusproxy.config.model import Document
from crocusproxy.config.operator_document import read_operator_file
from crocusproxy.config.publisher import NotKnownYetError
from crocusproxy.config.reader import ConfigStreamReader
from crocusproxy.config.verdict import Accepted, Rejected
from crocusproxy.errors import PlatformUnavailableError
from tests.config.running import run

EXAMPLE = read_operator_file(Path('examples/redaccion.yaml'))


def test_a_document_is_published_once_and_not_again_if_nothing_differs():
    async def publish(system):
        first = await system.publisher().replace(EXAMPLE, 'ana')
        assert first.verdict == Accepted(1)
        assert await system.publisher().replace(EXAMPLE, 'ana') is None
        assert system.platform.appends == 1

    run(publish)


def test_a_lost_append_response_gives_the_verdict_without_a_second_append():
    async def publish(system):
        system.platform.faults.lose_answers = 1
        writer = system.publisher()
        announced = []
        writer.on_append.append(announced.append)
        submission = await writer.replace(EXAMPLE, 'ana')
        assert [change.submission for change in announced] == [submission.id]
        assert submission.verdict == Accepted(1)
        assert system.platform.appends == 1

    run(publish)


def test_a_change_submitted_again_keeps_its_verdict_without_an_append():
    """A repeated click may reach another process, or come after a restart."""

    async def publish(system):
        first = system.publisher()
        change = first.change(edits_between(Document(), EXAMPLE), 0, 'ana')
        for writer in (first, system.publisher()):
            assert (await writer.submit(change)).verdict == Accepted(1)
        assert system.platform.appends == 1

    run(publish)


def test_two_reads_at_once_fold_each_record_once():
    async def read(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        reader = ConfigStreamReader(system.client)
        seen = []
        reader.on_record.append(lambda stored, _: seen.append(stored.offset))
        await asyncio.gather(reader.poll(), reader.poll())
        assert seen == [0]

    run(read)


def test_of_two_operators_at_once_one_wins_and_the_other_gets_the_generation():
    async def publish(system):
        writers = (system.publisher(), system.publisher())
        results = await asyncio.gather(
            *(writer.replace(EXAMPLE, 'ana') for writer in writers)
        )
        verdicts = {result.verdict for result in results}
        assert verdicts == {Accepted(1), Rejected('generation_conflict', 1)}

    run(publish)


def test_a_submission_that_is_nowhere_to_be_found_is_reported_as_not_known():
    async def publish(system):
        writer = system.publisher(limit=0)
        with pytest.raises(NotKnownYetError):
            await writer.find('missing')

    run(publish)


def test_an_outage_before_the_append_is_reported_as_not_made():
    async def publish(system):
        system.platform.faults.outage = True
        with pytest.raises(PlatformUnavailableError):
            await system.publisher().replace(EXAMPLE, 'ana')
        assert system.platform.appends == 0

    run(publish)
