"""Guards against connections that a stand-in leaves open."""

import asyncio

from standins.slot_server import SlotServer


class Writer:
    is_closed = False

    def get_extra_info(self, _):
        return '127.0.0.1', 1

    def close(self):
        self.is_closed = True


def test_connection_is_closed_when_its_task_is_cancelled():
    """It was closed after its loop, with a RuntimeError at the end of a run."""

    async def run():
        writer = Writer()
        reader = asyncio.StreamReader()
        task = asyncio.create_task(SlotServer().serve(reader, writer))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait((task,))
        return writer

    assert asyncio.run(run()).is_closed
