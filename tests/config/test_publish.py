"""Guards against changes that are lost, appended twice or decided twice."""

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


def test_an_unchanged_document_is_not_published_again():
    async def publish(system):
        first = await system.publisher().replace(EXAMPLE, 'ana')
        assert first.verdict == Accepted(1)
        assert await system.publisher().replace(EXAMPLE, 'ana') is None
        assert system.platform.appends == 1

    run(publish)


def test_a_lost_append_response_gives_the_verdict_without_a_second_append():
    async def publish(system):
        system.platform.faults.lose_answers = 1
        publisher = system.publisher()
        appended_changes = []
        publisher.on_append.append(appended_changes.append)
        submission = await publisher.replace(EXAMPLE, 'ana')
        assert [change.submission for change in appended_changes] == [
            submission.id
        ]
        assert submission.verdict == Accepted(1)
        assert system.platform.appends == 1

    run(publish)


def test_a_change_submitted_again_keeps_its_verdict_without_an_append():
    """A form submitted again may reach another process or a restarted one."""

    async def publish(system):
        first = system.publisher()
        change = first.new_change(edits_between(Document(), EXAMPLE), 0, 'ana')
        for publisher in (first, system.publisher()):
            assert (await publisher.submit(change)).verdict == Accepted(1)
        assert system.platform.appends == 1

    run(publish)


def test_concurrent_reads_apply_each_record_once():
    async def read(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        reader = ConfigStreamReader(system.client)
        offsets = []
        reader.on_record.append(lambda stored, _: offsets.append(stored.offset))
        await asyncio.gather(reader.poll(), reader.poll())
        assert offsets == [0]

    run(read)


def test_one_of_two_concurrent_changes_is_rejected_with_the_generation():
    async def publish(system):
        publishers = (system.publisher(), system.publisher())
        results = await asyncio.gather(
            *(publisher.replace(EXAMPLE, 'ana') for publisher in publishers)
        )
        verdicts = {result.verdict for result in results}
        assert verdicts == {Accepted(1), Rejected('generation_conflict', 1)}

    run(publish)


def test_a_submission_that_is_not_found_is_reported_as_not_known():
    async def publish(system):
        publisher = system.publisher(timeout_seconds=0)
        with pytest.raises(NotKnownYetError):
            await publisher.wait_for_verdict('missing')

    run(publish)


def test_a_change_in_an_outage_is_reported_as_not_made():
    async def publish(system):
        system.platform.faults.outage = True
        with pytest.raises(PlatformUnavailableError):
            await system.publisher().replace(EXAMPLE, 'ana')
        assert system.platform.appends == 0

    run(publish)
