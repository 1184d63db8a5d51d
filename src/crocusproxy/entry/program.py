"""Loads the settings of an entry instance and runs it."""

import sys

from ..logs import start_logging
from ..settings import load_or_exit
from .daemon import PROGRAM, EntryDaemon
from .reload_signal import ReloadSignal
from .settings import EntrySettings


def run_entry(path: str, reload_signal: ReloadSignal) -> None:
    """Run the instance of a settings file; exit with 2 if it can't be used."""
    loaded = load_or_exit(EntrySettings, path)
    start_logging(PROGRAM, loaded.instance.name, sys.stdout)
    EntryDaemon(loaded, path, reload_signal).application.run()
