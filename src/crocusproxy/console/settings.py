"""Settings of the console."""

from typing import Annotated

from pydantic import StringConstraints
from pydantic.dataclasses import dataclass

from ..settings import STRICT, InstanceIdentity, Listen

_Sha256 = Annotated[str, StringConstraints(pattern='^[0-9a-f]{64}$')]


@dataclass(frozen=True, slots=True, config=STRICT)
class Operator:
    """Someone who may sign in; the settings hold only the token's digest."""

    name: str
    token_sha256: _Sha256


@dataclass(frozen=True, slots=True, config=STRICT)
class ConsoleSettings:
    """``feeds`` are addresses of configuration daemons, the own one first.

    ``secure_cookies`` is off only where the console is reached without TLS.
    """

    identity: InstanceIdentity
    listen: Listen
    platform: str
    feeds: tuple[str, ...]
    operators: tuple[Operator, ...]
    secure_cookies: bool = True
