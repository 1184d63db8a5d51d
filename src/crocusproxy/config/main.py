"""Entry point of ``crocus-config``."""

import fire

from ..logs import start_logging
from ..settings import load_or_exit
from .daemon import ConfigDaemon
from .settings import ConfigSettings


def run(settings: str) -> None:
    """Follow the configuration stream and serve it until SIGTERM.

    Args:
        settings: path of the YAML settings file.
    """
    checked = load_or_exit(ConfigSettings, str(settings))
    start_logging('crocus-config', checked.instance.name)
    ConfigDaemon(checked).application.run()


def main() -> None:
    """Parse the command line and run the daemon."""
    fire.Fire(run, name='crocus-config')
