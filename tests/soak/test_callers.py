"""Guards against records of requests that mislead the checks."""

import asyncio
from collections import deque
from random import Random
from types import SimpleNamespace

import pytest

from soak import callers
from soak.callers import Caller
from soak.pipelining_callers import PIPELINING, SLOW, PipeliningCaller
from soak.plan import Features
from soak.records import BriefPause, RunRecord

ADDRESS = '127.0.0.1:1'


def details(now):
    operator = SimpleNamespace(
        features=Features(), random_key=lambda _: '', version=1
    )
    return 'c0', [], {ADDRESS: 0}, operator, RunRecord(), now, Random(1)


class InterruptedCaller(Caller):
    """Is cancelled in the step in which its response is complete."""

    async def connect(self, address):
        self.address = address
        return True

    async def exchange(self, request):
        request.outcome = 'answered'
        self.task.cancel()


def test_response_in_the_step_of_a_cancellation_has_its_time():
    """Soak 5008: it counted as the first of the run, with the last version."""

    async def run():
        caller = InterruptedCaller(*details(lambda: 7.0))
        caller.task = asyncio.create_task(caller.send('/only14/', ADDRESS))
        await asyncio.wait((caller.task,))
        return caller.run_record.requests

    (request,) = asyncio.run(run())
    assert request.outcome == 'answered'
    assert request.ended_at == 7.0


@pytest.mark.parametrize('kind', [PIPELINING, SLOW])
def test_ended_connection_is_not_used_again(kind):
    """Whole batches were cut before they were sent."""

    async def end(_, writer):
        served.append(1)
        writer.close()

    async def run():
        server = await asyncio.start_server(end, '127.0.0.1', 0)
        address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
        caller = PipeliningCaller(kind, {}, *details(lambda: 0.0))
        assert await caller.connect(address)
        reader, _ = caller.connection
        assert await reader.read() == b''
        assert await caller.connect(address)
        assert await caller.connection[0].read() == b''
        caller.close()
        server.close()

    served = []
    asyncio.run(run())
    assert len(served) == 2


@pytest.mark.parametrize(('stopped', 'is_late'), [(0, False), (1, True)])
def test_only_a_stop_of_the_own_instance_extends_the_time_for_a_response(
    stopped, is_late, monkeypatch
):
    """An instance answers in time though one that it forwarded to stands."""
    monkeypatch.setattr(callers, 'RESPONSE_TIMEOUT_SECONDS', 0.1)
    monkeypatch.setattr(callers, 'ABANDON_SHARE', 0)

    class StoppedCaller(InterruptedCaller):
        async def exchange(self, request):
            pause = BriefPause(stopped, 0)
            self.run_record.brief_pauses.append(pause)
            await asyncio.sleep(0.3)
            pause.end = 0.3
            request.outcome = 'answered'

    caller = StoppedCaller(*details(lambda: 0.0))
    request = asyncio.run(caller.send('/safe/', ADDRESS))
    assert request.outcome == ('late' if is_late else 'answered')


def test_request_that_is_sent_behind_another_is_marked():
    async def run():
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
        caller = PipeliningCaller(PIPELINING, {}, *details(lambda: 0.0))
        caller.instances[address] = 0
        assert await caller.connect(address)
        _, writer = caller.connection
        pending = deque()
        for _ in range(3):
            caller._send_one(writer, pending, 0)
        caller.close()
        server.close()
        return [request.is_behind for request in pending]

    assert asyncio.run(run()) == [False, True, True]
