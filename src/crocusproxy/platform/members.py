"""Registers this instance in the store and discovers the other members."""

import asyncio

from ..errors import PlatformUnavailableError
from ..logs import log
from ..membership.member_list import MemberList
from ..protocol.codec import MalformedMessageError, decode, encode
from ..protocol.home_feed import Member
from .store import KeyedRecord, RecordPage, StoreClient

MEMBER_TOPIC = 'keyed.crocus.members'
RETRY_INTERVAL_SECONDS = 2.0


class MemberRegistration:
    """Writes one record per start of this instance and reads the others'."""

    def __init__(self, store: StoreClient, member_list: MemberList) -> None:
        self.store = store
        self.member_list = member_list

    async def register(self) -> bool:
        """Register this instance and read the other members.

        Return False if the store is unavailable.
        """
        own = self.member_list.own
        try:
            page = await self._write_and_list(own)
        except PlatformUnavailableError as error:
            log('announcement_failed', error=str(error))
            return False
        for record in page.records:
            self._merge_record(record)
        return True

    async def register_until_written(self) -> None:
        """Retry until the record is written."""
        while not await self.register():
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _write_and_list(self, own: Member) -> RecordPage:
        await self.store.put(MEMBER_TOPIC, own.name, encode(own))
        return await self.store.newest(MEMBER_TOPIC)

    def _merge_record(self, record: KeyedRecord) -> None:
        try:
            member = decode(Member, record.content)
        except MalformedMessageError as error:
            log('member_unusable', member=record.key, error=str(error))
            return
        self.member_list.merge((member,))
