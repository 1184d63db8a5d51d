"""Guards against a link that does not harm, or never recovers."""

import asyncio

import pytest

from soak.link import DELAY_SECONDS, Harm, Link


async def echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(chunk)
    writer.close()


def play(scenario):
    async def run():
        server = await asyncio.start_server(echo, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = await Link(f'127.0.0.1:{port}').start()
        try:
            return await scenario(link)
        finally:
            await link.stop()
            server.close()

    return asyncio.run(run())


async def connect(link):
    host, _, port = link.address.rpartition(':')
    return await asyncio.open_connection(host, port)


async def exchange(ends, seconds=0.3):
    reader, writer = ends
    writer.write(b'x')
    async with asyncio.timeout(seconds):
        return await reader.read(1)


def test_bytes_pass_both_ways():
    async def scenario(link):
        return await exchange(await connect(link))

    assert play(scenario) == b'x'


def test_delay_holds_bytes_back():
    async def scenario(link):
        link.apply(Harm.DELAYED)
        began = asyncio.get_running_loop().time()
        assert await exchange(await connect(link), 2) == b'x'
        assert asyncio.get_running_loop().time() - began >= DELAY_SECONDS

    play(scenario)


@pytest.mark.parametrize('harm', [Harm.SILENT, Harm.ONE_WAY])
def test_connection_on_which_bytes_were_lost_stays_silent(harm):
    async def scenario(link):
        ends = await connect(link)
        await exchange(ends)
        link.apply(harm)
        with pytest.raises(TimeoutError):
            await exchange(ends)
        link.apply(Harm.NONE)
        with pytest.raises(TimeoutError):
            await exchange(ends)
        assert await exchange(await connect(link)) == b'x'

    play(scenario)


def test_reset_ends_open_connections_and_new_ones():
    async def scenario(link):
        ends = await connect(link)
        await exchange(ends)
        link.apply(Harm.RESET)
        with pytest.raises(ConnectionError):
            await exchange(ends)
        with pytest.raises(ConnectionError):
            await exchange(await connect(link))

    play(scenario)
