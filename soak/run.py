"""Runs a seed: start, faults under load, recovery, and the verdict."""

import asyncio
import shutil
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from .home_losses import PROPAGATION_SECONDS, serves_path
from .injection import FaultInjector
from .instance_pauses import own_pauses
from .invariants import find_violations
from .pause_plan import PausePlanner
from .plan import Features, Planner
from .planned_work import PlannedWorkPlanner
from .records import InstancePause, RunRecord
from .testbed import SERVICES, UPSTREAMS_PER_SERVICE, Testbed

#: All instances are ready and serve within this time after the last fault.
RECOVERY_SECONDS = 15.0
#: Aborted connections are closed within this time.
SETTLE_SECONDS = 0.1
_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a run; ``log_folder`` is set if it had violations."""

    seed: int
    violations: tuple[str, ...]
    request_count: int
    outcomes: dict[str, int]
    fault_count: int
    log_folder: Path | None
    longest_delay: float = 0
    #: Pauses of instances that no fault caused, the longest ones first.
    instance_pauses: tuple[InstancePause, ...] = ()


async def run_seed(
    seed: int,
    seconds: float,
    instances: int,
    restores: int = 0,
    terms: int = 0,
    cuts: int = 0,
    faults: bool = True,
    accounts: int = 0,
    evacuations: int = 0,
    cold: int = 0,
    homes: bool = False,
    silent: bool = False,
    quotas: int = 0,
    links: int = 0,
    losses: int = 0,
    departures: int = 0,
    planned: int = 0,
    slow: int = 0,
    pipelines: int = 0,
    pauses: int = 0,
) -> Verdict:
    """Run the faults of a seed and check the invariants.

    Besides, the store is restored from a copy ``restores`` times, upstreams
    state ``terms`` terms in their responses, and instances lose all upstreams
    ``cuts`` times. Without ``faults``, there are no others. With client
    accounts, their keys change ``accounts`` times; failure domains are
    evacuated ``evacuations`` times, and upstreams become cold ``cold`` times.
    The quota of an account changes ``quotas`` times, and the link between two
    domain homes is cut ``links`` times. The home, the store's links of its
    failure domain, or both are lost ``losses`` times, and ``departures``
    instances leave for good before the home is killed. There are ``planned``
    series of planned work, and ``slow`` and ``pipelines`` more callers that
    read slowly or pipeline requests. There are ``pauses`` series of brief
    pauses of instances, which are no disturbance. See ``Features`` for
    ``homes`` and ``silent``.
    """
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    features = Features(
        bool(accounts or quotas),
        bool(evacuations) or homes or bool(losses),
        homes,
        bool(cold),
        silent,
        bool(links),
        slow,
        pipelines,
    )
    testbed = Testbed(folder, instances, seed, features)
    upstreams = len(SERVICES) * UPSTREAMS_PER_SERVICE
    planner = Planner(seed, instances, upstreams)
    planned_work = PlannedWorkPlanner(seed, instances, upstreams)
    schedule = sorted(
        (
            *(planner.schedule(seconds) if faults else ()),
            *planner.schedule_restores(restores, seconds),
            *planner.schedule_terms(terms, seconds),
            *planner.schedule_cuts(cuts, seconds),
            *planner.schedule_features(accounts, evacuations, cold, seconds),
            *planner.schedule_quota_faults(quotas, links, seconds),
            *planner.schedule_home_losses(losses, departures, seconds),
            *planned_work.schedule(planned, seconds),
            *PausePlanner(seed, instances).schedule(pauses, seconds),
        ),
        key=lambda scheduled: scheduled.at,
    )
    try:
        await testbed.start()
        await _await_readiness(testbed, 'not ready after the start')
        await _inject_faults(testbed, schedule)
        await _check_recovery(testbed)
        for instance in testbed.instances:
            instance.check()
            testbed.run_record.connection_ends.extend(
                testbed.log_of(instance).connection_ends(instance.number)
            )
    finally:
        await testbed.stop()
        await asyncio.sleep(SETTLE_SECONDS)
    instance_pauses = _instance_pauses(testbed)
    testbed.run_record.instance_pauses.extend(instance_pauses)
    violations = tuple(find_violations(testbed.run_record))
    if not violations:
        shutil.rmtree(folder)
    return Verdict(
        seed,
        violations,
        len(testbed.run_record.requests),
        _count_outcomes(testbed.run_record),
        len(schedule),
        folder if violations else None,
        max(
            (
                delay.end - delay.start
                for delay in testbed.run_record.observer_delays
            ),
            default=0,
        ),
        instance_pauses,
    )


def _instance_pauses(testbed: Testbed) -> tuple[InstancePause, ...]:
    run_started_at = time.time() - testbed.now()
    pauses = [
        pause
        for instance in testbed.instances
        for pause in own_pauses(
            testbed.run_record,
            testbed.log_of(instance),
            instance.number,
            run_started_at,
        )
    ]
    pauses.sort(key=lambda pause: pause.seconds, reverse=True)
    return tuple(pauses)


async def _inject_faults(testbed: Testbed, schedule) -> None:
    testbed.start_load()
    start = testbed.now()
    injector = FaultInjector(testbed)
    injections = []
    for scheduled in schedule:
        await asyncio.sleep(max(start + scheduled.at - testbed.now(), 0))
        injections.append(asyncio.create_task(injector.apply(scheduled.fault)))
    await asyncio.gather(*injections)


async def _check_recovery(testbed: Testbed) -> None:
    """Check readiness, service and config propagation after the faults."""
    await _await_readiness(
        testbed, f'not ready {RECOVERY_SECONDS} s after the faults'
    )
    await _await_service(testbed)
    await testbed.stop_load()
    testbed.operator.publish()
    await asyncio.sleep(PROPAGATION_SECONDS)
    path = f'/only{testbed.operator.version}/'
    for instance in testbed.running():
        if not await serves_path(testbed, instance, path):
            testbed.run_record.violations.append(
                f'{instance.name}: old configuration after '
                f'{PROPAGATION_SECONDS} s before second {testbed.now():.2f}'
            )


async def _await_readiness(testbed: Testbed, message: str) -> None:
    deadline = testbed.now() + RECOVERY_SECONDS
    for instance in testbed.running():
        while not await instance.is_ready():
            if testbed.now() > deadline:
                testbed.run_record.violations.append(
                    f'{instance.name}: {message}, '
                    f'before second {testbed.now():.2f}'
                )
                return
            await asyncio.sleep(_POLL_SECONDS)


async def _await_service(testbed: Testbed) -> None:
    """Wait until each instance serves both services.

    Records a violation for a path that an instance doesn't serve in time.
    """
    deadline = testbed.now() + RECOVERY_SECONDS
    for instance in testbed.running():
        for path in ('/safe/', '/unsafe/'):
            while not await serves_path(testbed, instance, path):
                if testbed.now() > deadline:
                    testbed.run_record.violations.append(
                        f'{instance.name}: does not serve {path} '
                        f'before second {testbed.now():.2f}'
                    )
                    break


def _count_outcomes(run: RunRecord) -> dict[str, int]:
    outcomes = Counter(
        f'{request.outcome} {request.status}'
        if request.status
        else request.outcome
        for request in run.requests
    )
    return dict(outcomes.most_common())
