"""Guards against members that can't be found through the store."""

import asyncio
from datetime import timedelta

from aiohttp import ClientSession

from crocusproxy.membership.domain_homes import DomainHomeTable
from crocusproxy.membership.member_list import MemberList
from crocusproxy.platform.members import (
    MEMBER_TOPIC,
    ROSTER_MEMBERS,
    MemberRegistration,
    RosterWriter,
)
from crocusproxy.platform.store import StoreClient
from crocusproxy.protocol.codec import encode
from crocusproxy.protocol.home_feed import DomainHome, DomainHomes, Member
from standins.store import StandInStore


def member(name, started_at=1):
    return Member(name, 'a', f'{name}:1', f'{name}:2', 1.0, started_at)


async def register(client, member_list, domain_homes=None):
    table = domain_homes or DomainHomeTable()
    return await MemberRegistration(client, member_list, table).register()


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
        await RosterWriter(client, home_list, DomainHomeTable()).write()
        await register(client, MemberList(member('single')))
        found = MemberList(member('new'))
        assert await register(client, found)
        assert found.members.keys() == {'home', 'follower', 'single', 'new'}

    run_with_store(scenario)


def test_large_member_list_is_written_in_parts():
    """The store refuses records over its limit."""

    async def scenario(_, client):
        home_list = MemberList(member('home'))
        home_list.merge(member(f'n{number}') for number in range(1200))
        writer = RosterWriter(client, home_list, DomainHomeTable())
        await writer.write()
        page = await client.newest(MEMBER_TOPIC)
        assert len(page.records) == 1 + 1200 // ROSTER_MEMBERS
        found = MemberList(member('new'))
        await register(client, found)
        assert len(found.members) == 1202

    run_with_store(scenario)


def test_failed_write_of_the_roster_is_repeated():
    async def scenario(store, client):
        home_list = MemberList(member('home'))
        writer = RosterWriter(client, home_list, DomainHomeTable())
        await store.stop()
        await writer.write()
        assert not writer.written_state

    run_with_store(scenario)


def test_rejected_record_is_not_written_again_and_hides_no_member(monkeypatch):
    lines = []
    monkeypatch.setattr(
        'crocusproxy.platform.members.log',
        lambda event, error, **_: lines.append((event, error.split()[0])),
    )

    async def scenario(store, client):
        store.put(MEMBER_TOPIC, 'single', encode(member('single')))
        store.rejects_appends = True
        home_list = MemberList(member('home'))
        assert await register(client, home_list)
        assert home_list.members.keys() == {'home', 'single'}
        writer = RosterWriter(client, home_list, DomainHomeTable())
        await writer.write()
        assert writer.written_state
        assert lines == [('announcement_rejected', '[append_rejected]')] * 2

    run_with_store(scenario)


def test_unreadable_record_hides_no_other_member(capsys):
    async def scenario(store, client):
        store.put(MEMBER_TOPIC, '/roster/0', b'{}')
        store.put(MEMBER_TOPIC, 'broken', b'x')
        await register(client, MemberList(member('single')))
        found = MemberList(member('new'))
        assert await register(client, found)
        assert found.members.keys() == {'single', 'new'}

    run_with_store(scenario)


def test_domain_homes_are_the_same_after_a_loss_of_all_instances():
    """Callers still have their addresses."""
    homes = DomainHomes((DomainHome('a', member('home')),))

    async def scenario(_, client):
        table = DomainHomeTable()
        table.apply(homes)
        home_list = MemberList(member('home'))
        await RosterWriter(client, home_list, table).write()
        found = DomainHomeTable()
        await register(client, MemberList(member('new')), found)
        assert found.assignment == homes

    run_with_store(scenario)


def test_recorded_domain_homes_do_not_replace_those_of_the_feed():
    """The record can be some seconds old."""

    async def scenario(_, client):
        table = DomainHomeTable()
        table.apply(DomainHomes((DomainHome('a', member('old')),)))
        home_list = MemberList(member('home'))
        await RosterWriter(client, home_list, table).write()
        current = DomainHomeTable()
        current.apply(DomainHomes())
        await register(client, MemberList(member('new')), current)
        assert not current.assignment.homes

    run_with_store(scenario)


def test_roster_is_written_again_after_a_restore():
    """The copy can lack it."""

    async def scenario(store, client):
        writer = RosterWriter(
            client, MemberList(member('home')), DomainHomeTable()
        )
        await writer.write()
        assert writer.written_state == writer._state()
        store.restore({})
        await client.newest(MEMBER_TOPIC)
        assert writer.written_state != writer._state()

    run_with_store(scenario)
