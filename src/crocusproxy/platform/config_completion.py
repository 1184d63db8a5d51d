"""Reads from the store what an older home drops from the configuration.

A home of an older build passes on only the fields that it knows. An instance
that followed it would forward requests without checking their keys, and would
keep the incomplete version even after it became home itself.
"""

import asyncio
from random import Random

from ..errors import PlatformUnavailableError
from ..logs import log
from ..membership.catalog import Catalog
from ..protocol.codec import MalformedMessageError
from ..routes.model import RouteConfig
from .outage import StoreOutage
from .store import StoreClient
from .store_records import ExpiredPositionError
from .watch import CONFIG_KEY, CONFIG_TOPIC
from .wire import decode_config


class ConfigCompletion:
    """Reads from the store each configuration that an older build passed on.

    While the store does not respond, the passed-on version applies with the
    missing fields of the version before, and the read is retried. A version
    that the store lacks, or an unusable document, is not read again.
    ``missing`` is the latest configuration that has not been read.
    """

    def __init__(
        self, store: StoreClient, catalog: Catalog, random: Random
    ) -> None:
        self.store = store
        self.catalog = catalog
        self.outage = StoreOutage(random)
        self.missing: RouteConfig | None = None
        self.requested = asyncio.Event()
        catalog.complete_config = self._request

    async def run(self) -> None:
        """Read the configurations that are passed on, until cancelled."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            while self.missing is not None:
                await self._complete(self.missing)

    def is_incomplete(self) -> bool:
        """Return whether the configuration in force lacks fields."""
        config = self.catalog.config
        return config is not None and not config.is_complete

    def _request(self, config: RouteConfig) -> None:
        if self.missing is None or config.version > self.missing.version:
            self.missing = config
            self.requested.set()

    async def _complete(self, config: RouteConfig) -> None:
        try:
            stored = await self._read()
        except (PlatformUnavailableError, ExpiredPositionError) as error:
            self._apply_incomplete(config, error)
            await self.outage.wait_to_retry(CONFIG_TOPIC)
            return
        self.outage.end()
        if stored is not None:
            self.catalog.apply_config(stored)
        # A store that was restored from a copy can have an older version.
        self._apply_incomplete(config, None)
        if self.missing is config:
            self.missing = None

    def _apply_incomplete(
        self, config: RouteConfig, error: Exception | None
    ) -> None:
        current = self.catalog.config
        if current is None or current.version < config.version:
            log(
                'route_config_incomplete',
                version=config.version,
                error=str(
                    error or 'the store has no usable document of this version'
                ),
            )
            self.catalog.apply_config(config.fill_from(current))

    async def _read(self) -> RouteConfig | None:
        """Return the configuration in the store, None if it is unusable.

        Raises:
            PlatformUnavailableError: the store did not respond.
            ExpiredPositionError: the store was restored meanwhile.
        """
        page = await self.store.newest(CONFIG_TOPIC)
        documents = {record.key: record.content for record in page.records}
        try:
            return decode_config(documents.get(CONFIG_KEY, b''))
        except (MalformedMessageError, ValueError, OverflowError) as error:
            log('route_config_unusable', error=str(error))
            return None
