"""Runs the whole system on loopback and shows what callers get.

Run with ``python -m standins.demo``. It ends by itself within 40 seconds, with
exit code 0 if no request was duplicated or cut short. The last line of its
output is one JSON object.
"""

import asyncio
import json
import random
import shutil
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import asdict
from pathlib import Path

import fire
from aiohttp import ClientSession

from .caller import Caller, CallRecord, send_load
from .demo_report import OUTCOMES, count, print_table, summary
from .demo_settings import (
    OPERATOR,
    PROBES_PER_SECOND,
    SERVICE,
    SERVICE_MS,
    SLOTS,
    InstanceAddresses,
    Layout,
    configuration,
    new_layout,
    settings,
    write_yaml,
)
from .processes import (
    Processes,
    ProcessFailedError,
    program_command,
    standin_command,
)

LIMIT_SECONDS = 32
READY_SECONDS = 10
#: The console is not needed to answer calls.
REQUIRED = {'crocus-config', 'crocus-proxy', 'crocus-locator', 'crocusctl'}
CALLERS = 6
CALLS_PER_SECOND = 100
KEYED_SHARE = 0.4
_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class Demo:
    """One run; ``seconds`` is how long calls are sent."""

    def __init__(self, processes: Processes, seconds: float) -> None:
        self.processes = processes
        self.seconds = seconds
        self.layout: Layout = new_layout()
        self.start = time.monotonic()
        self.missing: set[str] = set()
        self.callers: list[Caller] = []

    async def run(self) -> tuple[list[CallRecord], list[dict]]:
        """Return the callers' records and the upstreams' counters."""
        await self.bring_up()
        await self.send_calls()
        return self.records(), await self.counters()

    async def bring_up(self) -> None:
        """Start everything and return once all programs are ready."""
        await self.start_platform()
        await self.start_upstreams()
        for one in self.layout.instances:
            self.start_instance(one)
        self.require_programs()
        for one in self.layout.instances:
            await self.answers(one, 'crocus-config', one.config, 'healthz')
        await self.publish(configuration(self.layout))
        await self.wait_ready()

    def records(self) -> list[CallRecord]:
        return [record for caller in self.callers for record in caller.records]

    async def counters(self) -> list[dict]:
        return [
            await get_json(f'http://{one.address}/admin/counters')
            for one in self.layout.upstreams
        ]

    def settings_of(self, one: InstanceAddresses) -> dict[str, dict]:
        return settings(self.layout, one)

    def print_status(self, text: str) -> None:
        print(f'{time.monotonic() - self.start:5.1f} s  {text}', flush=True)

    async def start_platform(self) -> None:
        address = self.layout.platform
        port = address.split(':')[1]
        self.processes.start('platform', standin_command('platform', port=port))
        await self.processes.wait_ready(
            'platform', f'http://{address}/stats', READY_SECONDS
        )
        for one in self.layout.instances:
            body = asdict(one) | {'state': 'live'}
            await post_json(f'http://{address}/v1/instances/{one.name}', body)
        self.print_status('platform stand-in is up; instance list filled')

    async def start_upstreams(self) -> None:
        for seed, one in enumerate(self.layout.upstreams):
            command = standin_command(
                'upstream',
                port=one.address.split(':')[1],
                name=one.name,
                slots=SLOTS,
                service_ms=SERVICE_MS,
                seed=seed,
            )
            self.processes.start(one.name, command)
        for one in self.layout.upstreams:
            url = f'http://{one.address}/admin/counters'
            await self.processes.wait_ready(one.name, url, READY_SECONDS)
        self.print_status(
            f'{len(self.layout.upstreams)} upstreams of {SLOTS} slots are up'
        )

    def start_instance(self, one: InstanceAddresses) -> None:
        for name, document in self.settings_of(one).items():
            process = f'{one.name}-{name}'
            path = self.processes.folder / f'{process}.yaml'
            command = program_command(name, str(write_yaml(path, document)))
            if command is not None:
                self.processes.start(process, command)
            elif name not in self.missing:
                self.missing.add(name)
                self.print_status(
                    f'{name} is left out: it has no main module yet'
                )

    def require_programs(self) -> None:
        """End the run if no call could be answered anyway."""
        if program_command('crocusctl') is None:
            self.missing.add('crocusctl')
        lacking = ', '.join(sorted(self.missing & REQUIRED))
        if lacking:
            raise ProcessFailedError(
                f'no call can be answered without {lacking}'
            )

    async def publish(self, document: dict) -> None:
        """Publish with crocusctl and return once the change is accepted."""
        path = self.processes.folder / 'configuration.yaml'
        write_yaml(path, document)
        command = program_command(
            'crocusctl',
            f'--config={self.layout.instances[0].config}',
            f'--platform={self.layout.platform}',
            'publish',
            str(path),
            f'--operator={OPERATOR}',
        )
        self.processes.start('crocusctl', command)
        await self.processes.wait_for_exit('crocusctl', READY_SECONDS)
        self.print_status('configuration published with crocusctl')

    async def wait_ready(self) -> None:
        for one in self.layout.instances:
            for name, address in (
                ('crocus-config', one.config),
                ('crocus-proxy', one.proxy_admin),
                ('crocus-locator', one.locator),
                ('crocus-console', one.console),
            ):
                await self.answers(one, name, address, 'readyz')
        self.print_status(f'{len(self.layout.instances)} instances are ready')

    async def answers(
        self, one: InstanceAddresses, name: str, address: str, path: str
    ) -> None:
        """Wait for a program's admin endpoint, if the program was started."""
        process = f'{one.name}-{name}'
        if process in self.processes.running:
            url = f'http://{address}/{path}'
            await self.processes.wait_ready(process, url, READY_SECONDS)

    async def send_calls(self) -> None:
        async with AsyncExitStack() as stack:
            for number in range(CALLERS):
                caller = self.new_caller(number)
                self.callers.append(await stack.enter_async_context(caller))
            self.print_status(
                f'{CALLERS} callers send {CALLS_PER_SECOND} calls/s '
                f'for {self.seconds:g} s'
            )
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.disturb())
                tasks.create_task(self.show_progress())
                await send_load(
                    self.callers, CALLS_PER_SECOND, self.seconds, KEYED_SHARE
                )

    def new_caller(self, number: int) -> Caller:
        """Return a caller that asks the locator of its own domain first."""
        turn = number % len(self.layout.instances)
        instances = self.layout.instances
        ordered = instances[turn:] + instances[:turn]
        return Caller(
            name=f'caller{number}',
            service=SERVICE,
            locators=[one.locator for one in ordered],
            random=random.Random(number),
        )

    async def disturb(self) -> None:
        """Drain an upstream, and kill a proxy that callers use."""
        await asyncio.sleep(self.seconds / 3)
        drained = self.layout.upstreams[-1]
        await post_json(
            f'http://{drained.address}/admin/faults', {'drain': 'announce'}
        )
        self.print_status(f'{drained.name} starts to drain')
        await asyncio.sleep(self.seconds / 3)
        self.processes.check_alive()
        name = f'{self.home_in_use().name}-crocus-proxy'
        if name in self.processes.running:
            self.processes.kill(name)
            self.print_status(f'{name} was killed')

    def home_in_use(self) -> InstanceAddresses:
        located = [caller.located for caller in self.callers if caller.located]
        used = {
            address.address for one in located for address in one.addresses[:1]
        }
        for one in self.layout.instances:
            if one.proxy in used:
                return one
        return self.layout.instances[0]

    async def show_progress(self) -> None:
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(2)
            records = [one for caller in self.callers for one in caller.records]
            counts = ', '.join(
                f'{count(records, outcome)} {outcome}' for outcome in OUTCOMES
            )
            self.print_status(f'{len(records)} calls: {counts}')


def main(seconds: float = 12) -> None:
    """Run the demo, sending calls for ``seconds``."""
    for one in _SIGNALS:
        signal.signal(one, _interrupt)
    folder = Path(tempfile.mkdtemp(prefix='crocus-demo-'))
    print(f'settings files and logs are in {folder}')
    try:
        passed = _run(folder, seconds)
    except KeyboardInterrupt:
        sys.exit('interrupted; every process was ended')
    except TimeoutError:
        sys.exit(f'not finished after {LIMIT_SECONDS} s; logs: {folder}')
    except Exception as error:
        sys.exit(f'{_first(error)!s}\nlogs: {folder}')
    if passed:
        shutil.rmtree(folder)
    sys.exit(not passed)


def _run(folder: Path, seconds: float) -> bool:
    """Print the report and return whether the run was correct."""
    begin = time.monotonic()
    with Processes(folder) as processes:
        demo = Demo(processes, seconds)
        records, counters = asyncio.run(_run_until_signal(demo))
        elapsed = time.monotonic() - begin
        late = processes.stop_all()
        demo.print_status(
            f'stopped; killed after the grace: {", ".join(late) or "none"}'
        )
    figures, found = summary(records, counters, PROBES_PER_SECOND * elapsed)
    print_table(figures, counters)
    passed = found.is_clean and figures['answered'] > 0
    if not passed:
        print(f'no call answered, or a guarantee broken; logs: {folder}')
    print(json.dumps(figures))
    return passed


async def _run_until_signal(demo: Demo) -> tuple[list[CallRecord], list[dict]]:
    # An exception that a signal handler raises inside a callback is lost, so
    # the signal cancels the task while the loop runs.
    run = asyncio.ensure_future(demo.run())
    loop = asyncio.get_running_loop()
    for one in _SIGNALS:
        loop.add_signal_handler(one, run.cancel)
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            return await run
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None


def _first(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _interrupt(*_: object) -> None:
    raise KeyboardInterrupt


async def get_json(url: str) -> dict:
    async with ClientSession() as session, session.get(url) as response:
        response.raise_for_status()
        return await response.json()


async def post_json(url: str, body: dict) -> None:
    async with (
        ClientSession() as session,
        session.post(url, json=body) as response,
    ):
        response.raise_for_status()


if __name__ == '__main__':
    fire.Fire(main)
