"""Entry point of ``crocusctl``."""

import asyncio
import getpass
import sys
from collections.abc import Awaitable, Callable

import fire

from ..errors import CrocusError
from . import commands
from .exits import WrongInputError, exit_code_of
from .output import Result, print_error, print_result
from .system import System, connect, tool_settings


class Crocusctl:
    """Operate crocusproxy.

    Commands; `crocusctl COMMAND --help` lists the flags of each:
      check FILE       check a configuration file; needs no running system
      diff FILE        show what publishing the file would change
      publish FILE     bring the file into force and wait for the verdict
      show             show the current configuration in the form of a file
      locate SERVICE   show the homes of a service

    Exit codes: 0 done, 1 rejected, 2 wrong input, 3 not reachable,
    4 not known yet. With --json a command prints one JSON document.

    Args:
        config: address (IP:port) of a crocus-config daemon.
        platform: address (IP:port) of the platform.
        settings: YAML file with the keys config, platform and wait.
    """

    def __init__(
        self,
        *,
        config: str = '',
        platform: str = '',
        settings: str = '',
    ) -> None:
        self._config = str(config)
        self._platform = str(platform)
        self._settings = str(settings)

    def check(self, file: str, json: bool = False) -> None:
        """Check FILE; needs no running system.

        Args:
            file: YAML document of services and upstreams.
            json: print JSON.
        """
        _finish(lambda: commands.check(str(file)), json)

    def publish(
        self,
        file: str,
        operator: str = '',
        base: int | None = None,
        json: bool = False,
    ) -> None:
        """Bring FILE into force and wait for the verdict.

        Services and upstreams that FILE does not name are removed.
        Needs --platform.

        Args:
            file: YAML document of services and upstreams.
            operator: name to record; default is the user's.
            base: publish only if this is the current generation.
            json: print JSON.
        """
        if base is not None and not isinstance(base, int):
            _fail(WrongInputError('--base is not a whole number'), json)
        name = str(operator) or getpass.getuser()
        self._run(
            lambda system: commands.publish(system, str(file), name, base), json
        )

    def show(self, json: bool = False) -> None:
        """Show the current configuration in the form that publish reads.

        Args:
            json: print JSON.
        """
        self._run(commands.show, json)

    def diff(self, file: str, json: bool = False) -> None:
        """Show what publishing FILE would change.

        Args:
            file: YAML document of services and upstreams.
            json: print JSON.
        """
        self._run(lambda system: commands.diff(system, str(file)), json)

    def locate(self, service: str, json: bool = False) -> None:
        """Show the homes of SERVICE.

        Args:
            service: name of a service.
            json: print JSON.
        """
        self._run(lambda system: commands.locate(system, str(service)), json)

    def _run(
        self,
        command: Callable[[System], Awaitable[Result]],
        as_json: bool,
    ) -> None:
        async def connected() -> Result:  # noqa: WPS430 - binds the command
            settings = tool_settings(
                self._settings, self._config, self._platform
            )
            async with connect(settings) as system:
                return await command(system)

        _finish(lambda: asyncio.run(connected()), as_json)


def main() -> None:
    """Read the command line and run one command."""
    fire.Fire(Crocusctl, name='crocusctl')


def _finish(command: Callable[[], Result], as_json: bool) -> None:
    try:
        result = command()
    except CrocusError as error:
        _fail(error, as_json)
    else:
        print_result(result, as_json)
        sys.exit(result.exit_code)


def _fail(error: CrocusError, as_json: bool) -> None:
    print_error(error, as_json)
    sys.exit(exit_code_of(error))
