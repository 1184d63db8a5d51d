"""Guards against daemons that serve no state or an old one after faults."""

import asyncio
from datetime import timedelta
from pathlib import Path
from random import Random

import pytest
from aiohttp.test_utils import unused_port

from crocusproxy.clock import ManualClock, SystemClock
from crocusproxy.config.change import apply_edits
from crocusproxy.config.operator_document import read_operator_file
from crocusproxy.config.reader import ConfigStreamReader
from crocusproxy.config.snapshot_writer import SnapshotWriter
from crocusproxy.errors import CrocusError
from crocusproxy.protocol.codec import encode
from crocusproxy.protocol.feed import FeedClient
from crocusproxy.protocol.follow import FeedFollower
from tests.config.running import run, until
from tests.config.samples import put_service

EXAMPLE = read_operator_file(Path('examples/redaccion.yaml'))
NEXT = apply_edits(EXAMPLE, [put_service('teletipo')], 0)


def has_generation(number):
    return lambda feed_cache: feed_cache.document.generation >= number


def test_a_publication_reaches_a_follower_as_edits():
    async def follow(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        daemon = await system.daemon('one')
        feed = FeedClient(system.session, daemon.address)
        follower = FeedFollower((feed,), SystemClock())
        arrived = asyncio.Queue()
        follower.on_document.append(arrived.put_nowait)
        await follower.start()
        first = await asyncio.wait_for(arrived.get(), 10)
        await system.publisher().replace(NEXT, 'ana')
        second = await asyncio.wait_for(arrived.get(), 10)
        await follower.stop()
        assert (first.generation, second.generation) == (1, 2)
        assert (
            second.upstreams['redaccion/redaccion-1']
            is (first.upstreams['redaccion/redaccion-1'])
        )
        assert daemon.application.not_ready_reasons() == ()

    run(follow)


def test_an_instance_started_in_an_outage_takes_its_peers_generation():
    async def start(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        peer = await system.daemon('one')
        await until(peer, has_generation(1))
        system.platform.faults.outage = True
        isolated = await system.daemon('two')
        new = await system.daemon('three', [peer.address])
        await until(new, has_generation(1))
        assert new.feed_cache.document == peer.feed_cache.document
        assert new.application.not_ready_reasons() == ()
        assert isolated.application.not_ready_reasons() != ()
        await until(isolated, lambda _: isolated.source.platform_down)
        assert isolated.application.not_ready_reasons() == (
            'platform_unavailable',
        )

    run(start)


def test_a_daemon_resumes_reading_the_platform_after_an_outage():
    async def recover(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        daemon = await system.daemon('one')
        await until(daemon, has_generation(1))
        system.platform.faults.outage = True
        await wait_until_platform_down(daemon)
        assert daemon.feed_cache.document.generation == 1
        system.platform.faults.outage = False
        await system.publisher().replace(NEXT, 'ana')
        await until(daemon, has_generation(2))

    run(recover)


async def wait_until_platform_down(daemon):
    """Wait until the daemon has detected the outage."""
    async with asyncio.timeout(10):
        while not daemon.source.platform_down:
            await asyncio.sleep(0.01)


def test_an_older_peer_is_skipped_and_never_lowers_the_generation():
    async def poll(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        await system.publisher().replace(NEXT, 'ana')
        newer = await system.daemon('one')
        await until(newer, has_generation(2))
        older_document = apply_edits(EXAMPLE, [], 1)
        older = await system.serve('/v1/config', encode(older_document))
        unreachable = f'127.0.0.1:{unused_port()}'
        daemon = await system.daemon(
            'two', [older, newer.address], platform=unreachable
        )
        await until(daemon, has_generation(2))
        await daemon.source.poll_peers()
        assert daemon.feed_cache.document == newer.feed_cache.document

    run(poll)


def test_instances_that_are_no_readers_do_not_poll_the_platform():
    async def poll(system):
        daemons = [await system.daemon(f'i{number}') for number in range(4)]
        for number, daemon in enumerate(daemons):
            system.list_instance(f'i{number}', daemon.address)
        for daemon in daemons:
            await until(daemon, lambda feed_cache: feed_cache.view.version == 4)
        others = [one for one in daemons if not one.source.reads_platform()]
        assert len(others) == 2
        # A poll of the platform that was in flight when the view arrived may
        # still complete.
        await system.publisher().replace(EXAMPLE, 'ana')
        for daemon in daemons:
            await until(daemon, has_generation(1))
        offsets = [daemon.source.reader.state.offset for daemon in others]
        await system.publisher().replace(NEXT, 'ana')
        for daemon in daemons:
            await until(daemon, has_generation(2))
        assert offsets == [one.source.reader.state.offset for one in others]

    run(poll)


def test_a_record_with_newer_rules_leaves_the_last_generation_in_force():
    async def stop_reading(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        daemon = await system.daemon('one')
        await until(daemon, has_generation(1))
        await system.client.append('config', {'rules': 99, 'type': 'change'})
        async with asyncio.timeout(10):
            while daemon.source.problem() != 'config_rules_unknown':
                await asyncio.sleep(0.01)
        assert daemon.feed_cache.document.generation == 1
        assert daemon.application.not_ready_reasons() == ()
        with pytest.raises(CrocusError) as caught:
            await system.publisher().replace(NEXT, 'ana')
        assert caught.value.code == 'config_rules_unknown'

    run(stop_reading)


def test_a_stopping_daemon_ends_the_polls_of_its_clients():
    async def stop(system):
        daemon = await system.daemon('one')
        feed = FeedClient(system.session, daemon.address)
        poll = asyncio.create_task(feed.document(0, timedelta(seconds=60)))
        await asyncio.sleep(0)
        await daemon.drain()
        (result,) = await asyncio.gather(poll, return_exceptions=True)
        assert result.code == 'not_reachable'

    run(stop)


def writer_of(reader, clock, reads=True):
    retention = timedelta(hours=3)
    return SnapshotWriter(reader, clock, Random(0), retention, lambda: reads)


async def reader_of(system):
    reader = ConfigStreamReader(system.client)
    await reader.catch_up()
    return reader


def test_a_new_reader_starts_from_a_snapshot_when_the_records_have_expired():
    async def expire(system):
        first = await system.publisher().replace(EXAMPLE, 'ana')
        reader = await reader_of(system)
        assert await writer_of(reader, SystemClock()).write()
        stream = system.platform.streams['config']
        stream.expire(len(stream.records) - 1)
        new = await reader_of(system)
        assert new.state.document == reader.state.document
        assert new.state.verdicts == {first.id: first.verdict}
        second = await system.publisher().replace(NEXT, 'ana')
        assert second.verdict.generation == 2

    run(expire)


def test_a_snapshot_is_written_only_once_the_newest_is_old():
    async def write(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        reader = await reader_of(system)
        clock = ManualClock(reader.oldest_time)
        writer = writer_of(reader, clock)
        assert not await writer.write_if_due()
        clock.advance(timedelta(hours=1, seconds=1))
        # An instance that no longer reads the platform has an outdated state.
        assert not writer_of(reader, clock, reads=False).is_due()
        assert await writer.write_if_due()
        await reader.catch_up()
        clock.wall = reader.snapshot_time
        assert not await writer.write_if_due()

    run(write)


def test_the_second_check_finds_the_snapshot_of_another_instance():
    async def write(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        reader = await reader_of(system)
        other = await reader_of(system)
        clock = ManualClock(reader.oldest_time + timedelta(hours=2))
        writer = writer_of(reader, clock)

        class OtherWritesFirst(ManualClock):
            async def sleep(self, delay):
                await writer_of(other, clock).write()
                await reader.catch_up()
                self.wall = reader.snapshot_time

        writer.clock = OtherWritesFirst(clock.now())
        before = system.platform.appends
        assert not await writer.write_if_due()
        assert system.platform.appends == before + 2

    run(write)


def test_several_instances_can_write_a_snapshot_concurrently():
    async def write(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        readers = [await reader_of(system) for _ in range(3)]
        writers = [writer_of(reader, SystemClock()) for reader in readers]
        system.platform.faults.lose_answers = 1
        assert all(
            await asyncio.gather(*(writer.write() for writer in writers))
        )
        system.platform.streams['config'].expire(6)
        new = await reader_of(system)
        for reader in readers:
            await reader.catch_up()
            assert reader.state.problem is None
            assert new.state.document == reader.state.document

    run(write)


def test_a_snapshot_is_due_at_once_when_the_newest_is_unusable():
    async def expire(system):
        await system.publisher().replace(EXAMPLE, 'ana')
        reader = await reader_of(system)
        writer = writer_of(reader, SystemClock())
        await writer.write()
        await reader.catch_up()
        assert not writer.is_due()
        await system.publisher().replace(NEXT, 'ana')
        system.platform.streams['config'].expire(1)
        await reader.catch_up()
        assert writer.is_due()

    run(expire)
