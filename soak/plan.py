"""The fault schedule of a run, drawn from its seed."""

from dataclasses import dataclass
from random import Random
from typing import Literal, get_args

from .link import LinkFault

FAILURE_DOMAINS = ('a', 'b')
#: Rate and burst; the limited account sends some 20 requests a second. The
#: lowest is listed twice, so that more of a run's few changes lower the quota
#: far below the load.
QUOTAS = ((0.5, 1.0), (0.5, 1.0), (2.0, 5.0), (12.0, 10.0), (40.0, 40.0))
StoreFault = Literal['refuse', 'slow', 'lose_answers', 'forget']
#: An upstream becomes cold, or all upstreams of its service restart cold.
Chill = Literal['become', 'restart', 'restart_service']
Terms = Literal['limit', 'leave', 'backoff']
ResponseFault = Literal['mute', 'error', 'extra', 'unsigned']


@dataclass(frozen=True, slots=True)
class Kill:
    """SIGKILL to instances, which restart after ``down_seconds``."""

    instances: tuple[int, ...]
    down_seconds: float


@dataclass(frozen=True, slots=True)
class Terminate:
    """SIGTERM to one instance, which restarts after its exit."""

    instance: int


@dataclass(frozen=True, slots=True)
class Pause:
    """SIGSTOP to one instance, and SIGCONT after ``seconds``."""

    instance: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Reload:
    """Changed settings and SIGHUP, ``times`` times in succession."""

    instance: int
    times: int


@dataclass(frozen=True, slots=True)
class DegradeStore:
    """The store is faulty for every client."""

    mode: StoreFault
    seconds: float


@dataclass(frozen=True, slots=True)
class RestoreStore:
    """The store is away for ``seconds`` and comes back from an older copy.

    The copy is ``copy_age`` seconds older than the moment at which it goes.
    """

    copy_age: float
    seconds: float


@dataclass(frozen=True, slots=True)
class DisruptStoreLinks:
    """The links from some instances to the store are faulty."""

    instances: tuple[int, ...]
    link_fault: LinkFault
    seconds: float


@dataclass(frozen=True, slots=True)
class DisruptUpstreamLink:
    """The link to one upstream is faulty."""

    upstream: int
    link_fault: LinkFault
    seconds: float


@dataclass(frozen=True, slots=True)
class CutOffInstances:
    """Instances lose all upstreams; other connections stay.

    Their connections to upstreams are reset, or live on if ``keeps_open``, and
    new ones are reset.
    """

    instances: tuple[int, ...]
    keeps_open: bool
    seconds: float


@dataclass(frozen=True, slots=True)
class CrashUpstream:
    """An upstream loses its running requests and restarts under its key."""

    upstream: int
    down_seconds: float


@dataclass(frozen=True, slots=True)
class ReplaceUpstream:
    """An upstream drains and stops, and a new one replaces it."""

    upstream: int


@dataclass(frozen=True, slots=True)
class CorruptResponses:
    """An upstream sends faulty responses."""

    upstream: int
    mode: ResponseFault
    seconds: float


@dataclass(frozen=True, slots=True)
class SlowUpstream:
    """An upstream takes several times as long for each request."""

    upstream: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StateTerms:
    """An upstream states terms in its responses for some time.

    ``figure`` is the limit in requests per second, or the backoff in seconds.
    """

    upstream: int
    terms: Terms
    figure: float
    seconds: float


@dataclass(frozen=True, slots=True)
class ChillUpstream:
    """An upstream must warm up, in traffic or after a restart."""

    upstream: int
    mode: Chill


@dataclass(frozen=True, slots=True)
class Evacuate:
    """The operator evacuates a failure domain for ``seconds``."""

    failure_domain: str
    seconds: float


@dataclass(frozen=True, slots=True)
class ChangeQuota:
    """The operator changes the quota of the limited account."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class CutHomeLink:
    """The link between two domain homes is faulty.

    Their messages are lost; forwarded requests pass.
    """

    link_fault: LinkFault
    seconds: float


@dataclass(frozen=True, slots=True)
class Publish:
    """The operator publishes ``count`` configurations in quick succession."""

    count: int


Fault = (
    Kill
    | Terminate
    | Pause
    | Reload
    | DegradeStore
    | RestoreStore
    | DisruptStoreLinks
    | DisruptUpstreamLink
    | CutOffInstances
    | CrashUpstream
    | ReplaceUpstream
    | CorruptResponses
    | SlowUpstream
    | StateTerms
    | ChillUpstream
    | Evacuate
    | ChangeQuota
    | CutHomeLink
    | Publish
)


@dataclass(frozen=True, slots=True)
class Features:
    """What a run uses besides faults.

    Client accounts; two failure domains, with slots for a home each and callers
    in both, if ``homes``; upstreams that are cold after a start; upstreams that
    never respond to requests that they have no slot for; and links between the
    internal ports of instances.
    """

    accounts: bool = False
    domains: bool = False
    homes: bool = False
    cold: bool = False
    silent: bool = False
    links: bool = False


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
