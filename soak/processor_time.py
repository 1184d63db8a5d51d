"""How long a process was ready to run without a processor.

A late end on a busy host has this cause, or one in the process itself.
"""

from pathlib import Path

_NANOSECONDS = 1e9


def processor_wait(pid: int) -> float:
    """Return the seconds that a process has waited for a processor so far.

    Returns 0 where the kernel keeps no such figure, and for a process that has
    ended.
    """
    try:
        figures = Path(f'/proc/{pid}/schedstat').read_text().split()
    except OSError:
        return 0
    return int(figures[1]) / _NANOSECONDS
