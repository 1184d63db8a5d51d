"""The members' records in the store, by which instances find each other.

The home records the members that it knows in a few records, so that the calls
to the store do not grow with the number of instances. An instance that reaches
no home through its seeds registers itself and reads all records.
"""

import asyncio
from dataclasses import dataclass

from ..errors import AppendRejectedError, PlatformUnavailableError
from ..logs import log
from ..membership.domain_homes import DomainHomeTable
from ..membership.member_list import MemberList
from ..protocol.codec import MalformedMessageError, decode, encode
from ..protocol.home_feed import DomainHomes, Member
from .store import StoreClient
from .store_records import ExpiredPositionError, KeyedRecord, RecordPage

MEMBER_TOPIC = 'keyed.crocus.members'
RETRY_INTERVAL_SECONDS = 2.0
#: Minimum time between two records of the member list.
ROSTER_INTERVAL_SECONDS = 5.0
#: Time in which most members have joined a new home.
FIRST_ROSTER_DELAY_SECONDS = 1.0
#: Members per record; the store limits the size of a record to 256 KiB.
ROSTER_MEMBERS = 500
#: Key of a record with several members; the key of other records is the name of
#: their only member.
ROSTER_KEY = '/roster/{number}'


@dataclass(frozen=True, slots=True)
class Roster:
    """A part of the home's member list, and its domain homes.

    After a loss of all instances, the same domain homes are appointed again,
    as callers still have their addresses.
    """

    members: tuple[Member, ...]
    domain_homes: DomainHomes = DomainHomes()


class MemberRegistration:
    """Writes a record of this instance and reads all members."""

    def __init__(
        self,
        store: StoreClient,
        member_list: MemberList,
        domain_homes: DomainHomeTable,
    ) -> None:
        self.store = store
        self.member_list = member_list
        self.domain_homes = domain_homes

    async def register(self) -> bool:
        """Register this instance and read the other members.

        Return False if the store is unavailable. A rejected record is not
        written again, and the other members are read nevertheless.
        """
        own = self.member_list.own
        try:
            page = await self._write_and_list(own)
        except (PlatformUnavailableError, ExpiredPositionError) as error:
            log('announcement_failed', error=str(error))
            return False
        for record in page.records:
            self._apply_record(record)
        return True

    async def register_until_written(self) -> None:
        """Retry until the store has accepted or rejected the record."""
        while not await self.register():
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _write_and_list(self, own: Member) -> RecordPage:
        await _put(self.store, own.name, encode(own))
        return await self.store.newest(MEMBER_TOPIC)

    def _apply_record(self, record: KeyedRecord) -> None:
        try:
            roster = _decode_roster(record)
        except MalformedMessageError as error:
            log('member_unusable', member=record.key, error=str(error))
            return
        self.member_list.merge(roster.members)
        if roster.domain_homes.homes and not self.domain_homes.is_known:
            self.domain_homes.apply(roster.domain_homes)


class RosterWriter:
    """Records the member list of the home after it has changed.

    A restored store may lack the record, so it is written again.
    """

    def __init__(
        self,
        store: StoreClient,
        member_list: MemberList,
        domain_homes: DomainHomeTable,
    ) -> None:
        self.store = store
        self.member_list = member_list
        self.domain_homes = domain_homes
        self.written_state: tuple[object, ...] = ()

    async def run(self) -> None:
        """Write the list after each change, until cancelled."""
        await asyncio.sleep(FIRST_ROSTER_DELAY_SECONDS)
        while True:
            if self.written_state != self._state():
                await self.write()
            await asyncio.sleep(ROSTER_INTERVAL_SECONDS)

    async def write(self) -> None:
        """Write the whole list; a failure is logged."""
        state = self._state()
        members = self.member_list.all()
        parts = range(0, len(members), ROSTER_MEMBERS)
        try:
            for number, start in enumerate(parts):
                roster = Roster(
                    members[start : start + ROSTER_MEMBERS],
                    self.domain_homes.assignment,
                )
                key = ROSTER_KEY.format(number=number)
                await _put(self.store, key, encode(roster))
        except PlatformUnavailableError as error:
            log('announcement_failed', error=str(error))
            return
        # The first response may be the one that tells the incarnation.
        self.written_state = (*state[:-1], self.store.incarnation.number)

    def _state(self) -> tuple[object, ...]:
        """Return what requires another write once it differs."""
        return (
            self.member_list.revision,
            self.domain_homes.assignment,
            self.store.incarnation.number,
        )


async def _put(store: StoreClient, key: str, content: bytes) -> None:
    """Write a record; a rejection, which a retry would repeat, is logged."""
    try:
        await store.put(MEMBER_TOPIC, key, content)
    except AppendRejectedError as error:
        log('announcement_rejected', key=key, error=str(error))


def _decode_roster(record: KeyedRecord) -> Roster:
    if record.key.startswith('/'):
        return decode(Roster, record.content)
    return Roster((decode(Member, record.content),))
