"""Verdicts: the outcome of a submission."""

from typing import Literal

from pydantic.dataclasses import dataclass

from ..errors import Fault
from ..settings import STRICT

GENERATION_CONFLICT = 'generation_conflict'
CONFIG_INVALID = 'config_invalid'


@dataclass(frozen=True, slots=True, config=STRICT)
class Accepted:
    """The submission took effect as ``generation``."""

    generation: int
    verdict: Literal['accepted'] = 'accepted'


@dataclass(frozen=True, slots=True, config=STRICT)
class Rejected:
    """The submission had no effect; ``generation`` is the current one."""

    code: str
    generation: int
    faults: tuple[Fault, ...] = ()
    verdict: Literal['rejected'] = 'rejected'


Verdict = Accepted | Rejected
