"""The fault schedule of a run, drawn from its seed."""

from dataclasses import dataclass
from random import Random
from typing import get_args

from .faults import (
    ChangeQuota,
    Chill,
    ChillUpstream,
    CorruptResponses,
    CrashUpstream,
    CutHomeLink,
    CutOffInstances,
    DegradeStore,
    Depart,
    DisruptStoreLinks,
    DisruptUpstreamLink,
    Evacuate,
    Fault,
    HomeLoss,
    Kill,
    LoseHome,
    Pause,
    Publish,
    Reload,
    ReplaceUpstream,
    RestoreStore,
    SlowUpstream,
    StateTerms,
    Terminate,
)
from .link import LinkFault

FAILURE_DOMAINS = ('a', 'b')
#: Rate and burst; the limited account sends some 20 requests a second. The
#: lowest is listed twice, so that more of a run's few changes lower the quota
#: far below the load.
QUOTAS = ((0.5, 1.0), (0.5, 1.0), (2.0, 5.0), (12.0, 10.0), (40.0, 40.0))


@dataclass(frozen=True, slots=True)
class Features:
    """What a run uses besides faults.

    Client accounts; two failure domains, with slots for a home each and callers
    in both, if ``homes``; upstreams that are cold after a start; upstreams that
    never respond to requests that they have no slot for; links between the
    internal ports of instances; and ``slow`` and ``pipelines`` callers that
    read slowly or pipeline, besides the usual ones.
    """

    accounts: bool = False
    domains: bool = False
    homes: bool = False
    cold: bool = False
    silent: bool = False
    links: bool = False
    slow: int = 0
    pipelines: int = 0


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault injected ``at`` seconds after the start of the load."""

    at: float
    fault: Fault


class Planner:
    """Draws faults for a given number of instances and upstreams."""

    def __init__(
        self, seed: int, instance_count: int, upstream_count: int
    ) -> None:
        self.random = Random(seed)
        # Separate, so that the other faults of a seed stay the same.
        self.restore_random = Random(f'restores-{seed}')
        self.terms_random = Random(f'terms-{seed}')
        self.cuts_random = Random(f'cuts-{seed}')
        self.features_random = Random(f'features-{seed}')
        self.quotas_random = Random(f'quotas-{seed}')
        self.losses_random = Random(f'losses-{seed}')
        self.instance_count = instance_count
        self.upstream_count = upstream_count

    def schedule(self, seconds: float) -> tuple[ScheduledFault, ...]:
        """Return the faults of a run in order of time.

        Some come as a series of faults of one kind, 0.2 s apart.
        """
        faults: list[ScheduledFault] = []
        now = self.random.uniform(0.2, 1)
        while now < seconds:
            fault = self._random_fault()
            for number in range(self.random.choice((1, 1, 1, 2, 3))):
                faults.append(
                    ScheduledFault(round(now + 0.2 * number, 2), fault)
                )
                fault = self._fault_of_same_kind(fault)
            now += self.random.uniform(0.2, 1.6)
        return tuple(sorted(faults, key=lambda scheduled: scheduled.at))

    def schedule_restores(
        self, count: int, seconds: float
    ) -> tuple[ScheduledFault, ...]:
        """Return restores of the store at random times, in their order."""
        uniform = self.restore_random.uniform
        return tuple(
            ScheduledFault(
                at,
                RestoreStore(
                    copy_age=round(uniform(0.2, 3), 2),
                    seconds=round(uniform(0.1, 1), 2),
                ),
            )
            for at in sorted(
                round(uniform(0.5, seconds), 2) for _ in range(count)
            )
        )

    def schedule_terms(
        self, count: int, seconds: float
    ) -> tuple[ScheduledFault, ...]:
        """Return terms that upstreams state, in the order of their times."""
        random = self.terms_random
        return tuple(
            ScheduledFault(
                at,
                StateTerms(
                    random.randrange(self.upstream_count),
                    random.choice(('limit', 'limit', 'leave', 'backoff')),
                    figure=round(random.choice((0, 1, 2.5, 6)), 2),
                    seconds=round(random.uniform(4, 6), 2),
                ),
            )
            for at in sorted(
                round(random.uniform(0.5, seconds), 2) for _ in range(count)
            )
        )

    def schedule_cuts(
        self, count: int, seconds: float
    ) -> tuple[ScheduledFault, ...]:
        """Return losses of all upstreams, in the order of their times.

        They may overlap; each leaves at least one instance.
        """
        random = self.cuts_random
        return tuple(
            ScheduledFault(
                at,
                CutOffInstances(
                    tuple(
                        random.sample(
                            range(self.instance_count),
                            random.randint(1, max(self.instance_count - 1, 1)),
                        )
                    ),
                    keeps_open=random.random() < 0.5,
                    seconds=round(random.uniform(4, 7), 2),
                ),
            )
            for at in sorted(
                round(random.uniform(0.5, seconds), 2) for _ in range(count)
            )
        )

    def schedule_features(
        self, publications: int, evacuations: int, chills: int, seconds: float
    ) -> tuple[ScheduledFault, ...]:
        """Return changes of configuration, evacuations and cold upstreams."""
        random = self.features_random
        faults: list[Fault] = [Publish(1) for _ in range(publications)]
        for _ in range(evacuations):
            domain = random.choice(FAILURE_DOMAINS)
            faults.append(Evacuate(domain, round(random.uniform(7, 10), 2)))
        for _ in range(chills):
            upstream = random.randrange(self.upstream_count)
            mode = random.choice(get_args(Chill))
            faults.append(ChillUpstream(upstream, mode))
        return tuple(
            ScheduledFault(round(random.uniform(0.5, seconds), 2), fault)
            for fault in faults
        )

    def schedule_quota_faults(
        self, changes: int, cuts: int, seconds: float
    ) -> tuple[ScheduledFault, ...]:
        """Return changed quotas and cut links between domain homes.

        The quotas are raised above the load or lowered far below it.
        """
        random = self.quotas_random
        # A quota that changes later is not binding before the end of the load.
        faults = [
            ScheduledFault(
                round(random.uniform(0.5, seconds / 2), 2),
                ChangeQuota(*random.choice(QUOTAS)),
            )
            for _ in range(changes)
        ]
        for _ in range(cuts):
            link_fault = random.choice(
                (LinkFault.RESET, LinkFault.ONE_WAY, LinkFault.SILENT)
            )
            cut = CutHomeLink(link_fault, round(random.uniform(1, 6), 2))
            at = round(random.uniform(0.5, seconds), 2)
            faults.append(ScheduledFault(at, cut))
        return tuple(faults)

    def schedule_home_losses(
        self, losses: int, departures: int, seconds: float
    ) -> tuple[ScheduledFault, ...]:
        """Return losses of the home, and departures of some instances.

        At least two instances stay.
        """
        random = self.losses_random
        faults = [
            ScheduledFault(
                round(random.uniform(0.5, seconds), 2),
                LoseHome(
                    random.choice(get_args(HomeLoss)),
                    phase=round(random.uniform(0, 1), 2),
                    seconds=round(random.uniform(3, 5), 2),
                ),
            )
            for _ in range(losses)
        ]
        count = min(departures, self.instance_count - 2)
        if count > 0:
            leaving = random.sample(range(self.instance_count), count)
            at = round(random.uniform(0.5, seconds), 2)
            faults.append(ScheduledFault(at, Depart(tuple(leaving))))
        return tuple(faults)

    def _fault_of_same_kind(self, fault: Fault) -> Fault:
        """Return a fault of the same kind for a series."""
        while True:
            other = self._random_fault()
            if type(other) is type(fault):
                return other

    def _random_fault(self) -> Fault:
        factories = (
            lambda: Kill(
                self._random_subset(self.instance_count),
                self._random_seconds(0, 1),
            ),
            lambda: Terminate(self._random_index(self.instance_count)),
            lambda: Pause(
                self._random_index(self.instance_count),
                self._random_seconds(0.1, 3),
            ),
            lambda: Reload(
                self._random_index(self.instance_count),
                self.random.randint(1, 4),
            ),
            lambda: DegradeStore(
                self.random.choice(
                    ('refuse', 'slow', 'lose_answers', 'forget')
                ),
                self._random_seconds(0.3, 4),
            ),
            lambda: DisruptStoreLinks(
                self._random_subset(self.instance_count),
                self._random_link_fault(),
                self._random_seconds(0.5, 4),
            ),
            lambda: DisruptUpstreamLink(
                self._random_index(self.upstream_count),
                self._random_link_fault(),
                self._random_seconds(0.3, 3),
            ),
            lambda: CrashUpstream(
                self._random_index(self.upstream_count),
                self._random_seconds(0, 2),
            ),
            lambda: ReplaceUpstream(self._random_index(self.upstream_count)),
            lambda: CorruptResponses(
                self._random_index(self.upstream_count),
                self.random.choice(('mute', 'error', 'extra', 'unsigned')),
                self._random_seconds(0.5, 3),
            ),
            lambda: SlowUpstream(
                self._random_index(self.upstream_count),
                self._random_seconds(0.5, 4),
            ),
            lambda: Publish(self.random.randint(1, 3)),
        )
        return self.random.choice(factories)()

    def _random_index(self, count: int) -> int:
        return self.random.randrange(count)

    def _random_subset(self, count: int) -> tuple[int, ...]:
        size = self.random.choice((1, 1, 1, count))
        return tuple(self.random.sample(range(count), size))

    def _random_seconds(self, minimum: float, maximum: float) -> float:
        return round(self.random.uniform(minimum, maximum), 2)

    def _random_link_fault(self) -> LinkFault:
        link_faults = [
            link_fault
            for link_fault in LinkFault
            if link_fault is not LinkFault.NONE
        ]
        return self.random.choice(link_faults)
