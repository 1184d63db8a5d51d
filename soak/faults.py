"""The faults that a run can inject."""

from dataclasses import dataclass
from typing import Literal

from .link import LinkFault

StoreFault = Literal['refuse', 'slow', 'lose_answers', 'forget']
#: An upstream becomes cold, or all upstreams of its service restart cold.
Chill = Literal['become', 'restart', 'restart_service']
Terms = Literal['limit', 'leave', 'backoff']
ResponseFault = Literal['mute', 'error', 'extra', 'unsigned']
#: When an instance pauses: without planned work, near the idle timeout, with
#: SIGTERM, at a step of the shutdown, or with SIGHUP or a configuration.
PauseStep = Literal[
    'calm',
    'idle',
    'stop',
    'refusing',
    'listening_end',
    'last_response',
    'end',
    'reload',
    'publish',
]
PauseRole = Literal['drawn', 'draining', 'home', 'domain_home']
#: The home is stopped or killed; with `store`, its failure domain is also, or
#: only, cut off from the store.
HomeLoss = Literal['stop', 'kill', 'store', 'store_and_stop']


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
class TerminateTwice:
    """SIGTERM to instances, and another one ``seconds`` later.

    Each restarts after its exit.
    """

    instances: tuple[int, ...]
    seconds: float


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """The operator publishes another idle timeout of callers' connections."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Pause:
    """SIGSTOP to one instance, and SIGCONT after ``seconds``."""

    instance: int
    seconds: float


@dataclass(frozen=True, slots=True)
class PauseBriefly:
    """SIGSTOP to an instance at a step of its work, and SIGCONT soon after.

    It is no disturbance: the invariants hold in it. The instance is the drawn
    one unless another one has the ``role`` then. The pause begins ``lead`` of
    its ``seconds`` before the step. Callers send to the instance meanwhile.
    """

    instance: int
    role: PauseRole
    step: PauseStep
    lead: float
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
class LoseHome:
    """The home is lost, or its failure domain loses the store, or both.

    A version is published meanwhile, which must be in force in time at the
    other instances. ``phase`` is the time from the loss to the version.
    """

    loss: HomeLoss
    phase: float
    seconds: float


@dataclass(frozen=True, slots=True)
class Depart:
    """Instances get SIGTERM and never return, and then the home is killed."""

    instances: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Publish:
    """The operator publishes ``count`` configurations in quick succession."""

    count: int


Fault = (
    Kill
    | Terminate
    | TerminateTwice
    | SetIdleTimeout
    | Pause
    | PauseBriefly
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
    | LoseHome
    | Depart
    | Publish
)
