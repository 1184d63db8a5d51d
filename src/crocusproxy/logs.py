"""Log output: eliot messages as JSON lines."""

import logging
import sys
from typing import Any, TextIO

from eliot import (
    FileDestination,
    add_destinations,
    add_global_fields,
    log_message,
)
from eliot.stdlib import EliotHandler


def start_logging(
    program: str, instance: str, output: TextIO | None = None
) -> None:
    """Start writing log lines, each with its program and instance.

    ``output`` defaults to standard error.
    """
    add_global_fields(program=program, instance=instance)
    add_destinations(FileDestination(file=output or sys.stderr))
    # Messages that libraries log with the standard module become JSON too.
    logging.getLogger().addHandler(EliotHandler())


def log(event: str, **fields: Any) -> None:
    """Write one log line of type ``event``."""
    log_message(message_type=event, **fields)
