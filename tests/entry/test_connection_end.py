"""Guards against connections whose end leaves no trace of their requests."""

import asyncio
import socket
import struct

import pytest
from prometheus_client import CollectorRegistry

from crocusproxy.entry.caller_request import RequestStage
from crocusproxy.entry.connection_end import (
    ConnectionEnd,
    EndCause,
    OpenRequest,
)
from crocusproxy.entry.metrics import EntryMetrics

from .harness import make_server, run_scenario


def ends(system):
    return [
        (fields['cause'], [one['stage'] for one in fields['requests']])
        for event, fields in system.log_lines
        if event == 'connection_ended'
    ]


async def wait_until(is_true):
    while not is_true():
        await asyncio.sleep(0.01)


def test_end_by_the_caller_names_the_stage_of_each_request():
    """Nothing told a request in the queue from one at an upstream."""

    async def scenario(system):
        (server,) = system.servers
        caller = await system.connect()
        caller.send('r1')
        await wait_until(lambda: server.runs == ['r1'])
        caller.send('r2')
        await wait_until(lambda: len(system.dispatcher.placer('s').queue) == 1)
        caller.send('r3', '/once/x', 'POST')
        await asyncio.sleep(0.05)
        caller.close()
        await wait_until(lambda: ends(system))
        assert ends(system) == [('caller', ['sent', 'queued', 'reading'])]

    run_scenario(scenario, [make_server(work=30, slots=1)])


def test_reset_by_the_caller_names_the_error():
    async def scenario(system):
        (server,) = system.servers
        caller = await system.connect()
        caller.send('r1')
        await wait_until(lambda: server.runs == ['r1'])
        caller.writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        caller.writer.transport.abort()
        await wait_until(lambda: ends(system))
        assert ends(system) == [('error', ['sent'])]
        fields = dict(system.log_lines)['connection_ended']
        assert 'reset' in fields['reason']

    run_scenario(scenario, [make_server(work=30)])


def test_answered_requests_leave_no_line():
    async def scenario(system):
        caller = await system.connect()
        for number in range(3):
            caller.send(f'r{number}')
            assert (await caller.read())[0] == 200
        caller.close()
        await wait_until(lambda: not system.gateway.connections)
        assert not ends(system)

    run_scenario(scenario, [make_server()])


def test_request_that_is_open_as_the_process_ends_is_recorded():
    async def scenario(system):
        (server,) = system.servers
        caller = await system.connect()
        caller.send('r1')
        await wait_until(lambda: server.runs == ['r1'])
        (connection,) = system.gateway.connections
        connection.record_stop()
        caller.close()
        await asyncio.sleep(0.05)
        assert ends(system) == [('stop', ['sent'])]

    run_scenario(scenario, [make_server(work=30)])


@pytest.mark.parametrize('cause', EndCause)
def test_metric_counts_open_requests_by_cause_and_stage(cause):
    registry = CollectorRegistry()
    metrics = EntryMetrics(registry)
    requests = (OpenRequest('r1', RequestStage.SENT, 1.0),) * 2
    metrics.count_open_requests(ConnectionEnd('', cause, '', 0, 0, requests))
    labels = {'cause': cause, 'stage': 'sent'}
    name = 'crocus_entry_open_requests_total'
    assert registry.get_sample_value(name, labels) == 2


def test_stop_names_the_request_that_it_drops_unsent():
    """It waits behind the last response, after which the connection closes."""

    async def scenario(system):
        (server,) = system.servers
        caller = await system.connect()
        caller.send('r1')
        caller.send('r2', '/once/x', 'POST')
        await wait_until(lambda: server.runs == ['r1'])
        system.gateway.is_draining = True
        assert (await caller.read())[0] == 200
        caller.close()
        await wait_until(lambda: ends(system))
        assert ends(system) == [('stop', ['reading'])]
        assert server.runs == ['r1']

    run_scenario(scenario, [make_server(work=0.2)])


def test_request_that_crosses_the_end_of_its_connection_leaves_a_line():
    """It was read and discarded, which no line told."""

    async def scenario(system):
        caller = await system.connect()
        caller.send('r1', headers=('Connection: close',))
        assert (await caller.read())[0] == 200
        caller.send('r2')
        await asyncio.sleep(0.05)
        caller.close()
        await wait_until(lambda: ends(system))
        fields = dict(system.log_lines)['connection_ended']
        assert fields['requests'] == []
        assert fields['discarded_bytes'] > 0

    run_scenario(scenario, [make_server()])
