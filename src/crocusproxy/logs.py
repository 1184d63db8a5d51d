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
    """Write log lines, each naming its program and instance.

    ``output`` defaults to standard error.
    """
    add_global_fields(program=program, instance=instance)
    add_destinations(FileDestination(file=output or sys.stderr))
    # Libraries log through the standard module; their lines become JSON too.
    logging.getLogger().addHandler(EliotHandler())


def log(event: str, **fields: Any) -> None:
    """Write one log line of type ``event``."""
    log_message(message_type=event, **fields)
