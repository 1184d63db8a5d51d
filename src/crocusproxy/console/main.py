"""Entry point of ``crocus-console``."""

import fire

from ..logs import start_logging
from ..settings import load_or_exit
from .daemon import ConsoleDaemon
from .settings import ConsoleSettings


def run(settings: str) -> None:
    """Serve the console until SIGTERM.

    Args:
        settings: path of the YAML settings file.
    """
    console_settings = load_or_exit(ConsoleSettings, str(settings))
    start_logging('crocus-console', console_settings.instance.name)
    ConsoleDaemon(console_settings).application.run()


def main() -> None:
    """Read the command line and run."""
    fire.Fire(run, name='crocus-console')
