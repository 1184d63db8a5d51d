"""Settings shared by all programs; each program reads one YAML file."""

import sys
from datetime import timedelta
from pathlib import Path
from typing import TypeVar

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .documents import read_document
from .durations import Duration
from .errors import InvalidDocumentError

EXIT_INVALID_SETTINGS = 2

#: Configuration of all validated data classes: unknown keys are faults, and a
#: program builds the validators only of the classes that it uses.
STRICT = ConfigDict(extra='forbid', defer_build=True)

_Settings = TypeVar('_Settings')


@dataclass(frozen=True, slots=True, config=STRICT)
class Listen:
    """Listening address of a program; ``host`` is an IP address."""

    host: str
    port: int


@dataclass(frozen=True, slots=True, config=STRICT)
class InstanceIdentity:
    """The instance that a program runs on."""

    name: str
    failure_domain: str


@dataclass(frozen=True, slots=True, config=STRICT)
class PlatformSettings:
    """Address of the platform, and the retention time of its log."""

    address: str
    retention: Duration = timedelta(hours=24)


def load_or_exit(model: type[_Settings], path: str) -> _Settings:
    """Read the settings file; on faults, print them and exit with code 2."""
    try:
        return read_document(model, Path(path))
    except InvalidDocumentError as error:
        for fault in error.faults:
            print(f'{error.source}: {fault}', file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
