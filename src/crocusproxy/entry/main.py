"""The command line of ``crocus-entry``."""

import os
import sys

import fire

from ..logs import start_logging
from ..platform.process import SETTINGS_VARIABLE
from ..settings import load_or_exit
from .daemon import PROGRAM, EntryDaemon
from .settings import EntrySettings


def run(settings: str = '') -> None:
    """Run an entry instance until SIGTERM.

    Args:
        settings: path of the YAML settings file; by default the one that the
            environment variable CROCUSPROXY_BOOT names.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, '')
    loaded = load_or_exit(EntrySettings, path)
    start_logging(PROGRAM, loaded.instance.name, sys.stdout)
    EntryDaemon(loaded, path).application.run()


def main() -> None:
    """Run the command line."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
