"""Entry processes of the soak and the signals sent to them."""

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from math import inf
from pathlib import Path
from typing import Any

from standins.processes import Processes

from .callers import http_get
from .link import Link
from .processor_time import processor_wait
from .records import BriefPause, InstanceDisturbance, RunRecord

PORT_NAMES = (
    'callers',
    'directory',
    'readiness',
    'control',
    'internal',
    'metrics',
)
SHUTDOWN_TIMEOUT_SECONDS = 3.0
READY_TIMEOUT_SECONDS = 15.0
_POLL_SECONDS = 0.05
EXIT_CHECK_INTERVAL_SECONDS = 0.1
#: The interpreter has no signal handlers before this, whatever the program
#: does.
INTERPRETER_START_SECONDS = 0.3
Step = Callable[[], Coroutine[Any, Any, None]]
#: A process that pauses can answer what waits in this time after it.
LAST_ANSWER_SECONDS = 0.3
#: Log texts that no external fault may cause.
FORBIDDEN_LOG_TEXTS = ('"task_failed"', 'Traceback')


class Instance:
    """An entry process with settings of its own; restarts keep its ports."""

    def __init__(
        self,
        number: int,
        processes: Processes,
        store: str,
        run: RunRecord,
        now: Callable[[], float],
        ports: Sequence[int],
        failure_domain: str = 'a',
        shutdown_seconds: float = SHUTDOWN_TIMEOUT_SECONDS,
    ) -> None:
        self.number = number
        self.name = f'n{number}'
        self.failure_domain = failure_domain
        self.processes = processes
        self.shutdown_seconds = shutdown_seconds
        self.link = Link(store)
        self.run_record = run
        self.now = now
        self.addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(PORT_NAMES, ports, strict=True)
        }
        self.settings_path = processes.folder / f'{self.name}.yaml'
        self.source = f'127.0.1.{number + 1}'
        self.validity_seconds = 1
        #: Links to the internal ports of other instances, by their addresses.
        self.links: dict[str, Link] = {}
        #: Serializes kills, terminations and pauses.
        self.lock = asyncio.Lock()
        #: Serializes reloads, which may happen during a kill or a pause.
        self.reload_lock = asyncio.Lock()
        #: Serializes brief pauses, which may happen in anything else.
        self.pause_lock = asyncio.Lock()
        #: When a stopping process would be killed, None while none stops.
        self.killed_at: float | None = None
        self.reported_exit: subprocess.Popen | None = None
        self.has_departed = False

    @property
    def is_draining(self) -> bool:
        """Return whether the process has got SIGTERM and not ended."""
        return self.killed_at is not None

    async def start(self, seeds: tuple[str, ...]) -> None:
        await self.link.start()
        self.seeds = seeds
        self.spawn()

    def write_settings(self) -> None:
        settings = {
            'instance': {
                'name': self.name,
                'failure_domain': self.failure_domain,
            },
            **self.addresses,
            'store': self.link.address,
            'seeds': self.seeds,
            'source': self.source,
            'validity': f'{self.validity_seconds}s',
            'bounds': {
                'shutdown': f'{self.shutdown_seconds}s',
                'budget_slack': 5,
            },
        }
        self.settings_path.write_text(json.dumps(settings))

    def spawn(self) -> None:
        self.write_settings()
        self.spawned_at = self.now()
        self.processes.start(
            self.name,
            (
                *(sys.executable, '-X', 'faulthandler', '-m'),
                *self._program(),
                f'--settings={self.settings_path}',
            ),
        )

    def _program(self) -> tuple[str, ...]:
        """Return the module to run; one with links if there are any."""
        if not self.links:
            return ('crocusproxy.entry.main',)
        links_path = self.settings_path.with_suffix('.links')
        links_path.write_text(
            json.dumps(
                {target: link.address for target, link in self.links.items()}
            )
        )
        return 'soak.linked_entry', str(links_path)

    async def kill(self, down_seconds: float) -> None:
        """Send SIGKILL and restart after ``down_seconds``."""
        async with self.lock:
            self.check_exit()
            start = self.now()
            self.processes.kill(self.name)
            await asyncio.sleep(down_seconds)
            self.spawn()
            await self._record_disturbance(start, is_planned=False)

    async def terminate(
        self,
        second_after: float | None = None,
        prepare: Step | None = None,
        accompany: Step | None = None,
    ) -> None:
        """Send SIGTERM, another one ``second_after`` seconds, and restart.

        ``prepare`` runs before it and ``accompany`` from it on. A timeout and a
        nonzero exit status are violations.
        """
        async with self.lock:
            if prepare is not None:
                await prepare()
            start = self.now()
            companion = accompany and asyncio.ensure_future(accompany())
            await self._end(start, second_after)
            if companion is not None:
                await companion
            self.spawn()
            await self._record_disturbance(start, is_planned=True)

    async def depart(self) -> None:
        """Send SIGTERM and do not restart; the checks are as for a restart."""
        async with self.lock:
            start = self.now()
            self.has_departed = True
            await self._end(start)
            self.run_record.instance_disturbances.append(
                InstanceDisturbance(self.number, start, inf, is_planned=True)
            )

    async def pause(self, seconds: float) -> None:
        """Send SIGSTOP, and SIGCONT after ``seconds``."""
        async with self.lock:
            start = self.now()
            process = self.processes.running[self.name]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)
            await self._record_disturbance(start, is_planned=False)

    async def pause_briefly(self, seconds: float, meanwhile: Step) -> None:
        """Send SIGSTOP, run ``meanwhile``, and SIGCONT after ``seconds``.

        No disturbance is recorded, as invariants hold in such a pause. One of
        a stopping process ends some time before it would be killed, as it could
        not answer any more then.
        """
        async with self.pause_lock:
            process = self.processes.running.get(self.name)
            if self.killed_at is not None:
                left = self.killed_at - LAST_ANSWER_SECONDS - self.now()
                seconds = min(seconds, left)
            if process is None or seconds <= 0:
                return
            process.send_signal(signal.SIGSTOP)
            pause = BriefPause(self.number, self.now())
            self.run_record.brief_pauses.append(pause)
            try:
                with suppress(TimeoutError):
                    async with asyncio.timeout(seconds):
                        await meanwhile()
                        await asyncio.sleep(seconds)
            finally:
                process.send_signal(signal.SIGCONT)
                pause.end = self.now()

    async def reload(self, times: int) -> None:
        """Change the settings file and send SIGHUP, ``times`` times."""
        async with self.reload_lock:
            for _ in range(times):
                self.validity_seconds = 3 - self.validity_seconds
                self.write_settings()
                process = self.processes.running.get(self.name)
                # A process that starts later reads the file then.
                if process is not None and self._handles_signals():
                    process.send_signal(signal.SIGHUP)
                await asyncio.sleep(_POLL_SECONDS)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                status, _ = await http_get(
                    self.addresses['readiness'], '/-/readiness'
                )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    async def watch_exits(self) -> None:
        """Record each unexpected exit soon after it, until cancelled."""
        while True:
            await asyncio.sleep(EXIT_CHECK_INTERVAL_SECONDS)
            # A signal may end the process while the lock is held.
            async with self.lock:
                self.check_exit()

    def check_exit(self) -> None:
        """Record an exit that no signal has caused, once.

        Also called before a signal that replaces the process, as the exit
        would be lost with it.
        """
        process = self.processes.running.get(self.name)
        if process is None or process is self.reported_exit:
            return
        if process.poll() is None:
            return
        self.reported_exit = process
        self._add_violation(
            f'ended by itself with {process.returncode} '
            f'before second {self.now():.2f}'
        )

    def check(self) -> None:
        """Record an unexpected exit and forbidden log lines."""
        self.check_exit()
        lines = Path(self.processes.log_path(self.name)).read_text()
        for line in lines.splitlines():
            if any(text in line for text in FORBIDDEN_LOG_TEXTS):
                self._add_violation(line)

    async def _end(
        self, start: float, second_after: float | None = None
    ) -> None:
        self.check_exit()
        process = self.processes.running[self.name]
        waited_before = processor_wait(process.pid)
        process.send_signal(signal.SIGTERM)
        self.killed_at = self.now() + self.shutdown_seconds
        while process.poll() is None:
            if second_after is not None and self.now() - start > second_after:
                process.send_signal(signal.SIGTERM)
                second_after = None
            if self._running_seconds(start) > self.shutdown_seconds:
                waited = processor_wait(process.pid) - waited_before
                self._add_violation(
                    f'did not end after SIGTERM at second {start:.2f}, '
                    f'waited {waited:.2f} s for a processor'
                )
                # Writes the stacks of all threads to the log.
                process.send_signal(signal.SIGABRT)
                await asyncio.sleep(_POLL_SECONDS)
                break
            await asyncio.sleep(_POLL_SECONDS)
        if (process.poll() or 0) not in {0, -signal.SIGABRT}:
            self._add_violation(f'ended with {process.returncode}')
        self.killed_at = None
        self.processes.kill(self.name)

    def _running_seconds(self, start: float) -> float:
        """Return the time since ``start`` without that of brief pauses.

        A stopped process can't exit.
        """
        now = self.now()
        stopped = self.run_record.stopped_seconds(self.number, start, now)
        return now - start - stopped

    async def _record_disturbance(
        self, start: float, *, is_planned: bool
    ) -> None:
        """Wait for readiness and record the disturbance as ended."""
        deadline = self.now() + READY_TIMEOUT_SECONDS
        while not await self.is_ready() and self.now() < deadline:
            await asyncio.sleep(_POLL_SECONDS)
        self.run_record.instance_disturbances.append(
            InstanceDisturbance(self.number, start, self.now(), is_planned)
        )

    def _handles_signals(self) -> bool:
        """Return whether the interpreter has started."""
        return self.now() - self.spawned_at > INTERPRETER_START_SECONDS

    def _add_violation(self, description: str) -> None:
        self.run_record.violations.append(f'{self.name}: {description}')


async def find_domain_homes(instances: Sequence[Instance]) -> list[Instance]:
    """Return the instances that the first directory that responds names."""
    domains = sorted({instance.failure_domain for instance in instances})
    for instance in instances:
        try:
            async with asyncio.timeout(1):
                responses = [
                    await http_get(
                        instance.addresses['directory'],
                        f'/-/resolve?Name=a&Zone={domain}',
                    )
                    for domain in domains
                ]
        except (OSError, TimeoutError, EOFError):
            continue
        if any(status != 200 for status, _ in responses):
            continue
        named = {json.loads(body)['Addresses'][0] for _, body in responses}
        return [one for one in instances if one.addresses['callers'] in named]
    return []
