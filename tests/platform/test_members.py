"""Guards against members that can't be found through the store."""

import asyncio
from datetime import timedelta

from aiohttp import ClientSession

from crocusproxy.membership.member_list import MemberList
from crocusproxy.platform.members import (
    MEMBER_TOPIC,
    ROSTER_MEMBERS,
    MemberRegistration,
    RosterWriter,
)
from crocusproxy.platform.store import StoreClient
from crocusproxy.protocol.home_feed import Member
from standins.store import StandInStore


def member(name, started_at=1):
    return Member(name, 'a', f'{name}:1', f'{name}:2', 1.0, started_at)


def run_with_store(scenario):
    async def run():
        store = await StandInStore().start()
        async with ClientSession() as session:
            client = StoreClient(session, store.address, timedelta(seconds=2))
            try:
                await scenario(store, client)
            finally:
                await store.stop()

    asyncio.run(run())


def test_registered_members_and_those_of_the_roster_are_found():
    async def scenario(_, client):
        home_list = MemberList(member('home'))
        home_list.merge([member('follower')])
        await RosterWriter(client, home_list).write()
        await MemberRegistration(
            client, MemberList(member('single'))
        ).register()
        found = MemberList(member('new'))
        assert await MemberRegistration(client, found).register()
        assert found.members.keys() == {'home', 'follower', 'single', 'new'}

    run_with_store(scenario)


def test_large_member_list_is_written_in_parts():
    """The store refuses records over its limit."""

    async def scenario(_, client):
        home_list = MemberList(member('home'))
        home_list.merge(member(f'n{number}') for number in range(1200))
        writer = RosterWriter(client, home_list)
        await writer.write()
        page = await client.newest(MEMBER_TOPIC)
        assert len(page.records) == 1 + 1200 // ROSTER_MEMBERS
        found = MemberList(member('new'))
        await MemberRegistration(client, found).register()
        assert len(found.members) == 1202

    run_with_store(scenario)


def test_failed_write_of_the_roster_is_repeated():
    async def scenario(store, client):
        home_list = MemberList(member('home'))
        writer = RosterWriter(client, home_list)
        await store.stop()
        await writer.write()
        assert writer.written_state is None

    run_with_store(scenario)


def test_unreadable_record_hides_no_other_member(capsys):
    async def scenario(store, client):
        store.put(MEMBER_TOPIC, '/roster/0', b'{}')
        store.put(MEMBER_TOPIC, 'broken', b'x')
        await MemberRegistration(
            client, MemberList(member('single'))
        ).register()
        found = MemberList(member('new'))
        assert await MemberRegistration(client, found).register()
        assert found.members.keys() == {'single', 'new'}

    run_with_store(scenario)
