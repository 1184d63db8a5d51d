"""The command line of ``crocus-entry``.

To keep a restart short, fire is imported only if there are arguments, and the
garbage collector is off during the start.
"""

import gc
import os
import sys

from ..memory_limits import return_freed_memory
from ..platform.process import SETTINGS_VARIABLE
from .reload_signal import ReloadSignal


def run(settings: str = '') -> None:
    """Run an entry instance until SIGTERM.

    Args:
        settings: path of the YAML settings file; by default the one that the
            platform's environment variable names.
    """
    reload_signal = ReloadSignal()
    # Imported modules live as long as the process, so collecting them is wasted
    # work. The application enables the collector once it has started.
    gc.disable()
    return_freed_memory()
    from .program import run_entry  # noqa: WPS433, PLC0415 - see above

    path = settings or os.environ.get(SETTINGS_VARIABLE, '')
    run_entry(path, reload_signal)


def main() -> None:
    """Run the command line."""
    if len(sys.argv) == 1:
        run()
        return
    import fire  # noqa: WPS433, PLC0415 - see above

    fire.Fire(run)


if __name__ == '__main__':
    main()
