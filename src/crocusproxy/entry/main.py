"""The command line of ``crocus-entry``."""

import os
import sys

from ..logs import start_logging
from ..platform.process import SETTINGS_VARIABLE
from ..settings import load_or_exit
from .daemon import PROGRAM, EntryDaemon
from .settings import EntrySettings


def run(settings: str = '') -> None:
    """Run an entry instance until SIGTERM.

    Args:
        settings: path of the YAML settings file; by default the one that the
            platform's environment variable names.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, '')
    loaded = load_or_exit(EntrySettings, path)
    start_logging(PROGRAM, loaded.instance.name, sys.stdout)
    EntryDaemon(loaded, path).application.run()


def main() -> None:
    """Run the command line.

    Without arguments fire is not loaded, since a restarted instance serves
    nobody until it has started.
    """
    if len(sys.argv) == 1:
        run()
        return
    import fire  # noqa: WPS433, PLC0415 - see above

    fire.Fire(run)


if __name__ == '__main__':
    main()
