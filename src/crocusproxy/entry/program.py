"""Start of an entry instance from its settings file."""

import sys

from ..logs import start_logging
from ..settings import load_or_exit
from .daemon import EntryDaemon
from .process_end import PROGRAM
from .reload_signal import ReloadSignal
from .settings import EntrySettings


def run_entry(path: str, reload_signal: ReloadSignal) -> None:
    """Run an instance; exit with code 2 if the settings file is invalid."""
    loaded = load_or_exit(EntrySettings, path)
    start_logging(PROGRAM, loaded.instance.name, sys.stdout)
    EntryDaemon(loaded, path, reload_signal).application.run()
