"""The forms of closes by their names."""

from dataclasses import dataclass
from pathlib import Path
from random import Random

from . import (
    exchanges,
    paused_homes,
    pauses,
    series,
    slow_readers,
    trials,
)
from .report import FormResult, make_result
from .review_bed import bed
from .testbed import ClosesTestbed


@dataclass(frozen=True, slots=True)
class Form:
    """A deployment, and whether its planned work is drawn at random."""

    zones: tuple[str, ...]
    routes: tuple[tuple, ...]


PAUSES = pauses.FORMS | paused_homes.FORMS
FORMS = {
    **{
        name: Form(slow_readers.ZONES, slow_readers.ROUTES)
        for name in slow_readers.FORMS
    },
    **{name: Form(pauses.ZONES, slow_readers.ROUTES) for name in PAUSES},
    **{
        name: Form(series.ZONES, deployment.routes())
        for name, deployment in series.DEPLOYMENTS.items()
    },
    **{name: Form(trials.ZONES, exchanges.ROUTES) for name in trials.TRIALS},
}


async def play_form(
    name: str,
    tree: str,
    logs: Path,
    random: Random,
    seed: int,
    seconds: float,
    delay_seconds: float,
    *,
    faults: bool,
    slow_share: float = 0,
) -> FormResult:
    """Play a form once; the record and the logs go to ``logs``."""
    form = FORMS[name]
    testbed = ClosesTestbed(
        logs, form.zones, form.routes, random, delay_seconds
    )
    try:
        if name in slow_readers.FORMS:
            await slow_readers.FORMS[name](testbed)
        elif name in PAUSES:
            await PAUSES[name](testbed)
        elif name in trials.TRIALS:
            await trials.TRIALS[name].play(testbed, seconds)
        else:
            deployment = series.DEPLOYMENTS[name]
            await series.Series(
                testbed,
                deployment,
                seconds,
                faults=faults,
                slow_share=slow_share,
            ).play()
    finally:
        await testbed.stop()
    if not testbed.ledger.passed_on():
        raise bed.CaseFailed('no request was passed on')
    return make_result(tree, name, seed, testbed.ledger, logs)
