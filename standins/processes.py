"""Starts and stops real processes, for the demo and for tests.

Only processes started by this module are stopped, through their own handles.
"""

import asyncio
import ctypes
import fcntl
import importlib.util
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

from aiohttp import ClientError, ClientSession, ClientTimeout

_PR_SET_PDEATHSIG = 1
_TAIL_LINES = 15
_POLL_SECONDS = 0.05
#: Below the range that Linux uses for outgoing connections.
_PORT_RANGE = range(10_000, 32_768)
_BLOCK_PORTS = 200
_LIBC = ctypes.CDLL(None)

MODULES = {
    'crocus-proxy': 'crocusproxy.proxy.main',
    'crocus-locator': 'crocusproxy.locator.main',
    'crocus-config': 'crocusproxy.config.main',
    'crocus-console': 'crocusproxy.console.main',
    'crocusctl': 'crocusproxy.cli.main',
}


class ProcessFailedError(Exception):
    """A process exited or did not become ready; the message names its log."""


@dataclass
class Processes:
    """Processes that are stopped at the end of a ``with`` block.

    Standard output and error go to ``NAME.log`` in ``folder``.
    """

    folder: Path
    running: dict[str, subprocess.Popen] = field(default_factory=dict)

    def __enter__(self) -> 'Processes':
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_all()

    def start(self, name: str, command: Sequence[str]) -> subprocess.Popen:
        """Start ``command`` in a session of its own.

        A Ctrl-C on the terminal then reaches only the parent, which stops its
        children in order.
        """
        with self.log_path(name).open('ab') as log:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_kill_with_parent,
            )
        self.running[name] = process
        return process

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, as a crash would."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop_all(self, grace_seconds: float = 6) -> tuple[str, ...]:
        """Send SIGTERM to all, and SIGKILL to those still running afterwards.

        Returns:
            The names of the processes that were killed.
        """
        for process in self.running.values():
            # A stopped process handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
            process.terminate()
        end = time.monotonic() + grace_seconds
        killed = []
        for name, process in self.running.items():
            try:
                process.wait(max(0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                killed.append(name)
                process.kill()
                process.wait()
        self.running.clear()
        return tuple(killed)

    def check_alive(self) -> None:
        """Raise ProcessFailedError if a process has exited by itself."""
        for name, process in self.running.items():
            if process.poll() is not None:
                raise ProcessFailedError(self._describe(name, 'exited'))

    async def wait_ready(self, name: str, url: str, seconds: float) -> None:
        """Return once a request to ``url`` returns status 200.

        Raises:
            ProcessFailedError: the process exited, or ``seconds`` passed.
        """
        end = time.monotonic() + seconds
        async with ClientSession(timeout=ClientTimeout(total=1)) as session:
            while not await _returns_ok(session, url):
                if self.running[name].poll() is not None:
                    raise ProcessFailedError(self._describe(name, 'exited'))
                if time.monotonic() > end:
                    reason = f'was not ready after {seconds} s'
                    raise ProcessFailedError(self._describe(name, reason))
                await asyncio.sleep(_POLL_SECONDS)

    async def wait_for_exit(self, name: str, seconds: float) -> None:
        """Return once a process has exited with code 0.

        Raises:
            ProcessFailedError: it failed, or ``seconds`` passed.
        """
        end = time.monotonic() + seconds
        while self.running[name].poll() is None and time.monotonic() < end:
            await asyncio.sleep(_POLL_SECONDS)
        code = self.running[name].poll()
        if code is None:
            raise ProcessFailedError(self._describe(name, 'did not exit'))
        if code:
            raise ProcessFailedError(self._describe(name, 'failed'))
        self.running.pop(name)

    def log_path(self, name: str) -> Path:
        return self.folder / f'{name}.log'

    def _describe(self, name: str, event: str) -> str:
        path = self.log_path(name)
        lines = path.read_text(errors='replace').splitlines()[-_TAIL_LINES:]
        code = self.running[name].poll()
        exit_code = '' if code is None else f' with code {code}'
        shown = '\n'.join(f'  {line}' for line in lines)
        return f'{name} {event}{exit_code}; last lines of {path}:\n{shown}'


def program_command(name: str, *arguments: str) -> list[str] | None:
    """Return the command of a program; None if its module does not exist."""
    if importlib.util.find_spec(MODULES[name]) is None:
        return None
    return [str(Path(sys.executable).with_name(name)), *arguments]


def standin_command(name: str, /, **options: object) -> list[str]:
    """Return the command that runs ``standins.NAME`` with ``options``."""
    flags = [f'--{key}={setting}' for key, setting in options.items()]
    return [sys.executable, '-m', f'standins.{name}', *flags]


def free_ports(count: int) -> list[int]:
    """Return different loopback ports that are free at present.

    The kernel assigns none of them to an outgoing connection, and no other
    process that calls this function gets them, so a program can be started and
    restarted on its port. A port is returned again as late as possible.
    """
    ports = list(itertools.islice(filter(_is_free, _BLOCKS.take()), count))
    if len(ports) < count:
        _BLOCKS.reserve()
        return free_ports(count)
    return ports


class PortBlocks:
    """Blocks of ports that this process has reserved by locked files.

    Several test runs on one host drew the same ports, and a program that could
    not bind its port never became ready.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.locks: list[TextIO] = []
        self.unused = list(range(0, len(_PORT_RANGE), _BLOCK_PORTS))
        self.ports: deque[int] = deque()

    def take(self) -> Iterator[int]:
        """Yield each reserved port once, the least recently taken one first."""
        for _ in range(len(self.ports)):
            self.ports.rotate(-1)
            yield self.ports[-1]

    def reserve(self) -> None:
        """Reserve another block until the process ends.

        Raises:
            OSError: all blocks are reserved.
        """
        random.SystemRandom().shuffle(self.unused)
        while self.unused:
            start = self.unused.pop()
            lock = (self.folder / f'crocus-ports-{start}.lock').open('w')
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                lock.close()
                continue
            self.locks.append(lock)
            self.ports.extendleft(_PORT_RANGE[start : start + _BLOCK_PORTS])
            return
        raise OSError('no block of ports is free; end other test runs')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


_BLOCKS = PortBlocks(Path(tempfile.gettempdir()))


async def _returns_ok(session: ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (ClientError, TimeoutError):
        return False


def _kill_with_parent() -> None:
    """Have the kernel kill the child when its parent dies."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() == 1:
        os._exit(1)
