"""Runs the whole system on loopback and reports the callers' results.

Run with ``python -m standins.demo``. It exits within 40 seconds, with code 0 if
no request was duplicated or cut short. The last line of its output is one JSON
object.
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

RUN_TIMEOUT_SECONDS = 32
READY_TIMEOUT_SECONDS = 10
#: Programs without which no call is answered; the console is not needed.
REQUIRED_PROGRAMS = {
    'crocus-config',
    'crocus-proxy',
    'crocus-locator',
    'crocusctl',
}
CALLERS = 6
CALLS_PER_SECOND = 100
KEYED_SHARE = 0.4
_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class Demo:
    """One run of the system, with calls sent for ``seconds``."""

    def __init__(self, processes: Processes, seconds: float) -> None:
        self.processes = processes
        self.seconds = seconds
        self.layout: Layout = new_layout()
        self.start = time.monotonic()
        self.missing_programs: set[str] = set()
        self.callers: list[Caller] = []

    async def run(self) -> tuple[list[CallRecord], list[dict]]:
        """Return the callers' records and the upstreams' counters."""
        await self.bring_up()
        await self.send_calls()
        return self.records(), await self.counters()

    async def bring_up(self) -> None:
        """Start all processes and return once the programs are ready."""
        await self.start_platform()
        await self.start_upstreams()
        for instance in self.layout.instances:
            self.start_instance(instance)
        self.require_programs()
        for instance in self.layout.instances:
            await self.wait_for_program(
                instance, 'crocus-config', instance.config, 'healthz'
            )
        await self.publish(configuration(self.layout))
        await self.wait_ready()

    def records(self) -> list[CallRecord]:
        """Return the records of all callers."""
        return [record for caller in self.callers for record in caller.records]

    async def counters(self) -> list[dict]:
        """Return the counters of all upstreams."""
        return [
            await get_json(f'http://{upstream.address}/admin/counters')
            for upstream in self.layout.upstreams
        ]

    def settings_of(self, instance: InstanceAddresses) -> dict[str, dict]:
        return settings(self.layout, instance)

    def print_status(self, text: str) -> None:
        print(f'{time.monotonic() - self.start:5.1f} s  {text}', flush=True)

    async def start_platform(self) -> None:
        address = self.layout.platform
        port = address.split(':')[1]
        self.processes.start('platform', standin_command('platform', port=port))
        await self.processes.wait_ready(
            'platform', f'http://{address}/stats', READY_TIMEOUT_SECONDS
        )
        for instance in self.layout.instances:
            body = asdict(instance) | {'state': 'live'}
            await post_json(
                f'http://{address}/v1/instances/{instance.name}', body
            )
        self.print_status('platform stand-in is ready and lists the instances')

    async def start_upstreams(self) -> None:
        for seed, upstream in enumerate(self.layout.upstreams):
            command = standin_command(
                'upstream',
                port=upstream.address.split(':')[1],
                name=upstream.name,
                slots=SLOTS,
                service_ms=SERVICE_MS,
                seed=seed,
            )
            self.processes.start(upstream.name, command)
        for upstream in self.layout.upstreams:
            url = f'http://{upstream.address}/admin/counters'
            await self.processes.wait_ready(
                upstream.name, url, READY_TIMEOUT_SECONDS
            )
        self.print_status(
            f'{len(self.layout.upstreams)} upstreams of {SLOTS} slots are ready'
        )

    def start_instance(self, instance: InstanceAddresses) -> None:
        for name, document in self.settings_of(instance).items():
            process = f'{instance.name}-{name}'
            path = self.processes.folder / f'{process}.yaml'
            command = program_command(name, str(write_yaml(path, document)))
            if command is not None:
                self.processes.start(process, command)
            elif name not in self.missing_programs:
                self.missing_programs.add(name)
                self.print_status(f'{name} is skipped: it has no main module')

    def require_programs(self) -> None:
        """Raise ProcessFailedError if a required program is missing."""
        if program_command('crocusctl') is None:
            self.missing_programs.add('crocusctl')
        lacking = ', '.join(sorted(self.missing_programs & REQUIRED_PROGRAMS))
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
        await self.processes.wait_for_exit('crocusctl', READY_TIMEOUT_SECONDS)
        self.print_status('configuration published with crocusctl')

    async def wait_ready(self) -> None:
        for instance in self.layout.instances:
            for name, address in (
                ('crocus-config', instance.config),
                ('crocus-proxy', instance.proxy_admin),
                ('crocus-locator', instance.locator),
                ('crocus-console', instance.console),
            ):
                await self.wait_for_program(instance, name, address, 'readyz')
        self.print_status(f'{len(self.layout.instances)} instances are ready')

    async def wait_for_program(
        self, instance: InstanceAddresses, name: str, address: str, path: str
    ) -> None:
        """Wait until ``path`` of a program returns 200, if it was started."""
        process = f'{instance.name}-{name}'
        if process in self.processes.running:
            url = f'http://{address}/{path}'
            await self.processes.wait_ready(process, url, READY_TIMEOUT_SECONDS)

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
                tasks.create_task(self.inject_faults())
                tasks.create_task(self.show_progress())
                await send_load(
                    self.callers, CALLS_PER_SECOND, self.seconds, KEYED_SHARE
                )

    def new_caller(self, number: int) -> Caller:
        """Return a caller that asks the locator of its own domain first."""
        offset = number % len(self.layout.instances)
        instances = self.layout.instances
        ordered = instances[offset:] + instances[:offset]
        return Caller(
            name=f'caller{number}',
            service=SERVICE,
            locators=[instance.locator for instance in ordered],
            random=random.Random(number),
        )

    async def inject_faults(self) -> None:
        """Drain an upstream, and later kill a proxy that callers use."""
        await asyncio.sleep(self.seconds / 3)
        drained = self.layout.upstreams[-1]
        await post_json(
            f'http://{drained.address}/admin/faults', {'drain': 'announce'}
        )
        self.print_status(f'{drained.name} started draining')
        await asyncio.sleep(self.seconds / 3)
        self.processes.check_alive()
        name = f'{self.home_in_use().name}-crocus-proxy'
        if name in self.processes.running:
            self.processes.kill(name)
            self.print_status(f'{name} was killed')

    def home_in_use(self) -> InstanceAddresses:
        """Return a home to which callers send, else the first instance."""
        located = [caller.located for caller in self.callers if caller.located]
        used = {
            address.address
            for homes in located
            for address in homes.addresses[:1]
        }
        for instance in self.layout.instances:
            if instance.proxy in used:
                return instance
        return self.layout.instances[0]

    async def show_progress(self) -> None:
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(2)
            records = [
                record for caller in self.callers for record in caller.records
            ]
            counts = ', '.join(
                f'{count(records, outcome)} {outcome}' for outcome in OUTCOMES
            )
            self.print_status(f'{len(records)} calls: {counts}')


def main(seconds: float = 12) -> None:
    """Run the demo, sending calls for ``seconds``."""
    for number in _SIGNALS:
        signal.signal(number, _interrupt)
    folder = Path(tempfile.mkdtemp(prefix='crocus-demo-'))
    print(f'settings files and logs: {folder}')
    try:
        passed = _run(folder, seconds)
    except KeyboardInterrupt:
        sys.exit('interrupted; every process was ended')
    except TimeoutError:
        sys.exit(f'not finished after {RUN_TIMEOUT_SECONDS} s; logs: {folder}')
    except Exception as error:
        sys.exit(f'{_first_cause(error)!s}\nlogs: {folder}')
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
        killed = processes.stop_all()
        demo.print_status(
            f'stopped; killed after the timeout: {", ".join(killed) or "none"}'
        )
    figures, violations = summary(
        records, counters, PROBES_PER_SECOND * elapsed
    )
    print_table(figures, counters)
    passed = violations.is_clean and figures['answered'] > 0
    if not passed:
        print(f'no call answered, or a guarantee violated; logs: {folder}')
    print(json.dumps(figures))
    return passed


async def _run_until_signal(demo: Demo) -> tuple[list[CallRecord], list[dict]]:
    # An exception that a signal handler raises inside a callback is lost, so
    # the signal cancels the task while the loop runs.
    run = asyncio.ensure_future(demo.run())
    loop = asyncio.get_running_loop()
    for number in _SIGNALS:
        loop.add_signal_handler(number, run.cancel)
    try:
        async with asyncio.timeout(RUN_TIMEOUT_SECONDS):
            return await run
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None


def _first_cause(error: BaseException) -> BaseException:
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
