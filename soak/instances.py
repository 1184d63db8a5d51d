"""Entry processes of the soak, and the signals that disturb them."""

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from standins.processes import Processes

from .callers import ask
from .link import Link
from .records import Disturbance, RunRecord

PORTS = ('callers', 'directory', 'readiness', 'control', 'internal', 'metrics')
SHUTDOWN_SECONDS = 3.0
READY_SECONDS = 15.0
_POLL_SECONDS = 0.05
#: Before this, the interpreter has no handlers yet, whatever the program does.
BOOT_SECONDS = 0.3
#: Events that must never be logged, whatever happens outside the process.
FORBIDDEN = ('"task_failed"', 'Traceback')


class Instance:
    """One place for an entry process with settings of its own."""

    def __init__(
        self,
        number: int,
        processes: Processes,
        store: str,
        run: RunRecord,
        now: Callable[[], float],
        ports: Sequence[int],
    ) -> None:
        self.number = number
        self.name = f'n{number}'
        self.processes = processes
        self.link = Link(store)
        self.run_record = run
        self.now = now
        self.addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(PORTS, ports, strict=True)
        }
        self.path = processes.folder / f'{self.name}.yaml'
        self.validity = 1
        #: Held while the process is being ended and started again.
        self.lock = asyncio.Lock()

    async def start(self, seeds: tuple[str, ...]) -> None:
        await self.link.start()
        self.seeds = seeds
        self.spawn()

    def write_settings(self) -> None:
        settings = {
            'instance': {'name': self.name, 'failure_domain': 'a'},
            **self.addresses,
            'store': self.link.address,
            'seeds': self.seeds,
            'validity': f'{self.validity}s',
            'bounds': {
                'shutdown': f'{SHUTDOWN_SECONDS}s',
                'budget_slack': 5,
            },
        }
        self.path.write_text(json.dumps(settings))

    def spawn(self) -> None:
        self.write_settings()
        self.spawned_at = self.now()
        program = (sys.executable, '-m', 'crocusproxy.entry.main')
        arguments = (f'--settings={self.path}',)
        self.processes.start(self.name, (*program, *arguments))

    async def kill(self, down: float) -> None:
        async with self.lock:
            start = self.now()
            self.processes.kill(self.name)
            await asyncio.sleep(down)
            self.spawn()
            await self._note_until_ready(start, planned=False)

    async def terminate(self) -> None:
        """End the process in order; one that does not end is a fault."""
        async with self.lock:
            start = self.now()
            process = self.processes.running[self.name]
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                if self.now() - start > SHUTDOWN_SECONDS:
                    self._broken('did not end after SIGTERM')
                    break
                await asyncio.sleep(_POLL_SECONDS)
            if process.poll():
                self._broken(f'ended with {process.returncode}')
            self.processes.kill(self.name)
            self.spawn()
            await self._note_until_ready(start, planned=True)

    async def pause(self, seconds: float) -> None:
        async with self.lock:
            start = self.now()
            process = self.processes.running[self.name]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)
            await self._note_until_ready(start, planned=False)

    async def reload(self, times: int) -> None:
        for _ in range(times):
            self.validity = 3 - self.validity
            self.write_settings()
            process = self.processes.running.get(self.name)
            # A process that does not run reads the file when it starts.
            if process is not None and self._takes_signals():
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(_POLL_SECONDS)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                status, _ = await ask(
                    self.addresses['readiness'], '/-/readiness'
                )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    def check(self) -> None:
        """Note what the process has logged or done that it never should."""
        process = self.processes.running[self.name]
        if process.poll() is not None:
            self._broken(f'ended by itself with {process.returncode}')
        lines = Path(self.processes.log_path(self.name)).read_text()
        for line in lines.splitlines():
            if any(event in line for event in FORBIDDEN):
                self._broken(line)

    async def _note_until_ready(self, start: float, *, planned: bool) -> None:
        """Wait for readiness, and note the disturbance that ends then."""
        limit = self.now() + READY_SECONDS
        while not await self.is_ready() and self.now() < limit:
            await asyncio.sleep(_POLL_SECONDS)
        self.run_record.disturbances.append(
            Disturbance(self.number, start, self.now(), planned)
        )

    def _takes_signals(self) -> bool:
        """Return whether the interpreter itself has started."""
        return self.now() - self.spawned_at > BOOT_SECONDS

    def _broken(self, what: str) -> None:
        self.run_record.broken.append(f'{self.name}: {what}')
