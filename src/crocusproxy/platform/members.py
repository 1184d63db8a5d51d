"""Announces this instance in the store, and finds the others there."""

import asyncio

from ..errors import PlatformUnavailableError
from ..logs import log
from ..membership.member_list import MemberList
from ..protocol.codec import MalformedMessageError, decode, encode
from ..protocol.home_feed import Member
from .store import KeyedRecord, RecordPage, StoreClient

MEMBER_TOPIC = 'keyed.crocus.members'
RETRY_SECONDS = 2.0


class Announcement:
    """Writes one record for each start of an instance."""

    def __init__(self, store: StoreClient, member_list: MemberList) -> None:
        self.store = store
        self.member_list = member_list

    async def try_once(self) -> bool:
        """Announce this instance and learn the others; False if it failed."""
        own = self.member_list.own
        try:
            page = await self._announce(own)
        except PlatformUnavailableError as error:
            log('announcement_failed', error=str(error))
            return False
        for record in page.records:
            self._learn(record)
        return True

    async def repeat(self) -> None:
        """Try again until the announcement is written."""
        while not await self.try_once():
            await asyncio.sleep(RETRY_SECONDS)

    async def _announce(self, own: Member) -> RecordPage:
        await self.store.put(MEMBER_TOPIC, own.name, encode(own))
        return await self.store.newest(MEMBER_TOPIC)

    def _learn(self, record: KeyedRecord) -> None:
        try:
            member = decode(Member, record.content)
        except MalformedMessageError as error:
            log('member_unusable', member=record.key, error=str(error))
            return
        self.member_list.merge((member,))
