"""Retries while the store is unreachable.

Refused calls load a store that is about to recover, so only one reader of an
instance retries, at growing intervals, and the others wait for its success.
"""

import asyncio
from random import Random

MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 0.8
#: Factor of the interval after each failed retry.
RETRY_GROWTH = 1.3
#: Share by which an interval is shortened at random.
RETRY_JITTER = 0.2
#: A reader retries after this time even if no other one has succeeded: the
#: store may serve some topics only.
MAX_WAIT_SECONDS = 2.0


class StoreOutage:
    """Lets one of several readers retry.

    ``retrying_reader`` is the name of the reader whose retries the others wait
    for, empty if the latest read succeeded.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.retrying_reader = ''
        self.interval = MIN_RETRY_SECONDS
        self.recovered = asyncio.Event()

    async def wait_to_retry(self, reader: str) -> None:
        """Return when ``reader`` should read again after a failure."""
        if self.retrying_reader in {'', reader}:
            self.retrying_reader = reader
            self.recovered.clear()
            jitter = RETRY_JITTER * self.random.random()
            await asyncio.sleep(self.interval * (1 - jitter))
            self.interval = min(self.interval * RETRY_GROWTH, MAX_RETRY_SECONDS)
            return
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                await self.recovered.wait()
        except TimeoutError:
            # The other reader may fail for a reason of its own.
            return

    def end(self) -> None:
        """Record a successful read."""
        self.retrying_reader = ''
        self.interval = MIN_RETRY_SECONDS
        self.recovered.set()
