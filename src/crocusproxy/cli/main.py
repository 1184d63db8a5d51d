"""Entry point of ``crocusctl``."""

import asyncio
import getpass
import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

import fire
from fire.decorators import SetParseFn

from ..errors import CrocusError
from . import commands
from .burn import burn as show_burn
from .config_check import config_check
from .exits import WrongInputError, exit_code_for
from .explain import explain as explain_request
from .history import history as show_history
from .instances import instances as show_instances
from .output import Result, print_error, print_result
from .system import SystemClient, connect, read_tool_settings

_Method = TypeVar('_Method', bound=Callable[..., None])


def _parse_as_text(*names: str) -> Callable[[_Method], _Method]:
    """Stop fire from parsing these arguments, such as 1e5, as numbers."""
    decorator: Callable[[_Method], _Method] = SetParseFn(str, *names)
    return decorator


class ConfigCommands:
    """Work on configuration documents of the platform."""

    def __init__(self, settings: str) -> None:
        self._settings = settings

    @_parse_as_text('file', 'against')
    def check(self, file: str, against: str = '', json: bool = False) -> None:
        """Check FILE before it is sent; needs no running system.

        With --settings, that settings file of crocus-entry is checked too.
        Exit codes: 0 no findings, 1 only warnings, 2 errors.

        Args:
            file: configuration document of the platform (JSON).
            against: document of the version in force; shows what differs.
            json: print JSON.
        """
        _run_and_exit(lambda: config_check(file, against, self._settings), json)


class Crocusctl:
    """Operate crocusproxy.

    Commands; `crocusctl COMMAND --help` lists the flags of each:
      check FILE       validate a configuration file; needs no running system
      diff FILE        show the edits that publishing the file would make
      publish FILE     publish the file and wait for the verdict
      show             show the current configuration in the form of a file
      history          show the last submissions and their verdicts
      locate SERVICE   show the homes of a service, which dispatch its requests
      instances        show the instances and the generation each serves
      burn             show burn rates and error budgets of all services
      explain ID FILE  show log lines of a request and of related events
      config check FILE  check a configuration document of the platform

    Exit codes: 0 done, 1 rejected, 2 wrong input, 3 not reachable,
    4 not known yet. With --json a command prints one JSON document.

    Args:
        config: address (IP:port) of a crocus-config daemon.
        platform: address (IP:port) of the platform.
        settings: YAML file with the keys config, platform and wait; for
            config check, a settings file of crocus-entry.
    """

    @_parse_as_text('config', 'platform', 'settings')
    def __init__(
        self,
        *,
        config: str = '',
        platform: str = '',
        settings: str = '',
    ) -> None:
        self._config = config
        self._platform = platform
        self._settings = settings
        self.config = ConfigCommands(settings)

    @_parse_as_text('file')
    def check(self, file: str, json: bool = False) -> None:
        """Validate FILE; needs no running system.

        Args:
            file: YAML document of services and upstreams.
            json: print JSON.
        """
        _run_and_exit(lambda: commands.check(file), json)

    @_parse_as_text('file', 'operator')
    def publish(
        self,
        file: str,
        operator: str = '',
        base: int | None = None,
        json: bool = False,
    ) -> None:
        """Publish FILE and wait for the verdict.

        Services and upstreams that FILE does not name are removed.
        Needs --platform.

        Args:
            file: YAML document of services and upstreams.
            operator: name recorded with the change; default is the login name.
            base: publish only if this is the current generation.
            json: print JSON.
        """
        if base is not None:
            _require_non_negative_integer('--base', base, json)
        operator_name = operator or getpass.getuser()
        self._run(
            lambda system: commands.publish(system, file, operator_name, base),
            json,
        )

    def show(self, json: bool = False) -> None:
        """Show the current configuration in the form that publish reads.

        Args:
            json: print JSON.
        """
        self._run(commands.show, json)

    @_parse_as_text('request_id', 'files')
    def explain(self, request_id: str, *files: str, json: bool = False) -> None:
        """Show log lines of a request and of related events.

        Needs no running system.

        Args:
            request_id: id that the caller gave the request.
            files: log files of entry instances.
            json: print JSON.
        """
        _run_and_exit(lambda: explain_request(request_id, files), json)

    @_parse_as_text('file')
    def diff(self, file: str, json: bool = False) -> None:
        """Show the edits that publishing FILE would make.

        Args:
            file: YAML document of services and upstreams.
            json: print JSON.
        """
        self._run(lambda system: commands.diff(system, file), json)

    @_parse_as_text('service')
    def locate(self, service: str, json: bool = False) -> None:
        """Show the homes of SERVICE.

        Args:
            service: name of a service.
            json: print JSON.
        """
        self._run(lambda system: commands.locate(system, service), json)

    @_parse_as_text('submission')
    def history(
        self,
        limit: int = 20,
        submission: str = '',
        json: bool = False,
    ) -> None:
        """Show the last submissions and their verdicts; needs --platform.

        Args:
            limit: number of submissions.
            submission: id; show only this one and exit with its verdict.
            json: print JSON.
        """
        _require_non_negative_integer('--limit', limit, json)
        self._run(lambda system: show_history(system, limit, submission), json)

    def instances(self, json: bool = False) -> None:
        """Show the instances and the generation that each of them serves.

        Args:
            json: print JSON.
        """
        self._run(show_instances, json)

    def burn(self, json: bool = False) -> None:
        """Show burn rates, error budgets and instances without a response.

        Args:
            json: print JSON.
        """
        self._run(show_burn, json)

    def _run(
        self,
        command: Callable[[SystemClient], Awaitable[Result]],
        as_json: bool,
    ) -> None:
        async def connected() -> Result:  # noqa: WPS430 - binds the command
            settings = read_tool_settings(
                self._settings, self._config, self._platform
            )
            async with connect(settings) as system:
                return await command(system)

        _run_and_exit(lambda: asyncio.run(connected()), as_json)


def main() -> None:
    """Read the command line and run one command."""
    fire.Fire(Crocusctl, name='crocusctl')


def _require_non_negative_integer(
    flag: str, number: object, as_json: bool
) -> None:
    # fire infers the type: x arrives as a string, True as a boolean.
    if not isinstance(number, int) or isinstance(number, bool) or number < 0:
        _exit_with_error(
            WrongInputError(f'{flag} is not a non-negative integer'), as_json
        )


def _run_and_exit(command: Callable[[], Result], as_json: bool) -> None:
    try:
        result = command()
    except CrocusError as error:
        _exit_with_error(error, as_json)
    else:
        print_result(result, as_json)
        sys.exit(result.exit_code)


def _exit_with_error(error: CrocusError, as_json: bool) -> None:
    print_error(error, as_json)
    sys.exit(exit_code_for(error))
