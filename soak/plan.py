"""The faults of one run, drawn from its seed."""

from dataclasses import dataclass
from random import Random
from typing import Literal

from .link import Harm

StoreHarm = Literal['refuse', 'slow', 'lose_answers', 'forget']
Misbehaviour = Literal['mute', 'error', 'extra', 'unsigned']


@dataclass(frozen=True, slots=True)
class Kill:
    """SIGKILL to instances, which start again after ``down`` seconds."""

    instances: tuple[int, ...]
    down: float


@dataclass(frozen=True, slots=True)
class Terminate:
    """SIGTERM to one instance, which starts again after its end."""

    instance: int


@dataclass(frozen=True, slots=True)
class Pause:
    """SIGSTOP to one instance, and SIGCONT after some seconds."""

    instance: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Reload:
    """A changed settings file and several SIGHUP in a row."""

    instance: int
    times: int


@dataclass(frozen=True, slots=True)
class HarmStore:
    """The store misbehaves towards everybody."""

    how: StoreHarm
    seconds: float


@dataclass(frozen=True, slots=True)
class CutStore:
    """The ways of some instances to the store are harmed."""

    instances: tuple[int, ...]
    harm: Harm
    seconds: float


@dataclass(frozen=True, slots=True)
class HarmUpstream:
    """The way to one upstream is harmed."""

    upstream: int
    harm: Harm
    seconds: float


@dataclass(frozen=True, slots=True)
class CrashUpstream:
    """An upstream loses what it runs, and starts again under its name."""

    upstream: int
    down: float


@dataclass(frozen=True, slots=True)
class ReplaceUpstream:
    """An upstream leaves, ends, and another one comes in its place."""

    upstream: int


@dataclass(frozen=True, slots=True)
class Misbehave:
    """An upstream answers some requests wrongly."""

    upstream: int
    how: Misbehaviour
    seconds: float


@dataclass(frozen=True, slots=True)
class SlowDown:
    """An upstream works several times slower."""

    upstream: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Publish:
    """The operator publishes new configurations, shortly after one another."""

    count: int


Fault = (
    Kill
    | Terminate
    | Pause
    | Reload
    | HarmStore
    | CutStore
    | HarmUpstream
    | CrashUpstream
    | ReplaceUpstream
    | Misbehave
    | SlowDown
    | Publish
)


@dataclass(frozen=True, slots=True)
class Event:
    """A fault that strikes ``at`` seconds after the start of the load."""

    at: float
    fault: Fault


class Planner:
    """Draws faults for a number of instances and upstreams."""

    def __init__(self, seed: int, instances: int, upstreams: int) -> None:
        self.random = Random(seed)
        self.instances = instances
        self.upstreams = upstreams

    def events(self, seconds: float) -> tuple[Event, ...]:
        """Return the faults of a run, several of which come in a series."""
        events: list[Event] = []
        now = self.random.uniform(0.2, 1)
        while now < seconds:
            fault = self._fault()
            for number in range(self.random.choice((1, 1, 1, 2, 3))):
                events.append(Event(round(now + 0.2 * number, 2), fault))
                fault = self._again(fault)
            now += self.random.uniform(0.2, 1.6)
        return tuple(sorted(events, key=lambda event: event.at))

    def _again(self, fault: Fault) -> Fault:
        """Return a fault of the same kind, as operators and bugs do it."""
        while True:
            other = self._fault()
            if type(other) is type(fault):
                return other

    def _fault(self) -> Fault:
        draws = (
            lambda: Kill(self._some(self.instances), self._seconds(0, 1)),
            lambda: Terminate(self._one(self.instances)),
            lambda: Pause(self._one(self.instances), self._seconds(0.1, 3)),
            lambda: Reload(
                self._one(self.instances), self.random.randint(1, 4)
            ),
            lambda: HarmStore(
                self.random.choice(
                    ('refuse', 'slow', 'lose_answers', 'forget')
                ),
                self._seconds(0.3, 4),
            ),
            lambda: CutStore(
                self._some(self.instances),
                self._harm(),
                self._seconds(0.5, 4),
            ),
            lambda: HarmUpstream(
                self._one(self.upstreams), self._harm(), self._seconds(0.3, 3)
            ),
            lambda: CrashUpstream(
                self._one(self.upstreams), self._seconds(0, 2)
            ),
            lambda: ReplaceUpstream(self._one(self.upstreams)),
            lambda: Misbehave(
                self._one(self.upstreams),
                self.random.choice(('mute', 'error', 'extra', 'unsigned')),
                self._seconds(0.5, 3),
            ),
            lambda: SlowDown(self._one(self.upstreams), self._seconds(0.5, 4)),
            lambda: Publish(self.random.randint(1, 3)),
        )
        return self.random.choice(draws)()

    def _one(self, count: int) -> int:
        return self.random.randrange(count)

    def _some(self, count: int) -> tuple[int, ...]:
        size = self.random.choice((1, 1, 1, count))
        return tuple(self.random.sample(range(count), size))

    def _seconds(self, least: float, most: float) -> float:
        return round(self.random.uniform(least, most), 2)

    def _harm(self) -> Harm:
        harms = [harm for harm in Harm if harm is not Harm.NONE]
        return self.random.choice(harms)
