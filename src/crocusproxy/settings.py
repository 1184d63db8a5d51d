"""Settings shared by all programs, read from one YAML file each."""

import sys
from datetime import timedelta
from pathlib import Path
from typing import TypeVar

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .documents import read_document
from .durations import Duration
from .errors import InvalidDocumentError

EXIT_WRONG_SETTINGS = 2

#: Configuration of every checked data class: unknown keys are faults. A program
#: builds the checks only of those that it uses.
STRICT = ConfigDict(extra='forbid', defer_build=True)

_Settings = TypeVar('_Settings')


@dataclass(frozen=True, slots=True, config=STRICT)
class Listen:
    """Where a program accepts connections; ``host`` is an IP number."""

    host: str
    port: int


@dataclass(frozen=True, slots=True, config=STRICT)
class InstanceIdentity:
    """The instance that a program runs on."""

    name: str
    failure_domain: str


@dataclass(frozen=True, slots=True, config=STRICT)
class PlatformSettings:
    """The platform at ``address``, and how long its log keeps records."""

    address: str
    retention: Duration = timedelta(hours=24)


def load_or_exit(model: type[_Settings], path: str) -> _Settings:
    """Read the settings file, or print its faults and exit with code 2."""
    try:
        return read_document(model, Path(path))
    except InvalidDocumentError as error:
        for fault in error.faults:
            print(f'{error.source}: {fault}', file=sys.stderr)
        sys.exit(EXIT_WRONG_SETTINGS)
