"""Instances that dispatch to upstreams that warm up, in manual time."""

from datetime import timedelta
from random import Random

from crocusproxy.clock import ManualClock
from crocusproxy.entry.warm_up_watch import WarmUpWatch
from crocusproxy.membership.catalog import Catalog
from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import Placed, PlacementRequest, Refused
from crocusproxy.placement.warm_up import WarmUpTolerance
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import (
    RegisteredUpstream,
    RouteConfig,
    ServiceSettings,
)

WARM_UP_SECONDS = 6.0
STEP_SECONDS = 0.01


def config_of(rate, version=1):
    warm_up = timedelta(seconds=WARM_UP_SECONDS)
    settings = ServiceSettings('s', '/health', 10, warm_up, rate)
    return RouteConfig(version, (), (settings,))


def entry(key, domain='a', slots=4, started_at=1, sequence=1, warm_up=0):
    return RegisteredUpstream(
        key,
        's',
        f'10.0.0.{key}:80',
        domain,
        slots,
        False,
        started_at,
        sequence,
        timedelta(seconds=warm_up),
    )


class Instance:
    """One instance with its own catalog, terms and placer."""

    def __init__(
        self,
        clock,
        rate,
        domain='a',
        on_placed=None,
        tolerance=WarmUpTolerance(),
    ):
        self.clock = clock
        self.on_placed = on_placed or (lambda placed: None)
        self.catalog = Catalog()
        self.log_lines = []
        self.watch = WarmUpWatch(self.catalog, clock, self.log, tolerance)
        self.placer = ServicePlacer(
            's', domain, clock, Random(1), self.catalog.terms
        )
        self.catalog.on_upstream.append(self.put)
        self.catalog.on_evacuation.append(self.placer.apply_evacuated)
        self.catalog.apply_config(config_of(rate))
        self.running = []

    def log(self, event, **fields):
        self.log_lines.append((event, fields))

    def put(self, change):
        if change.entry is None:
            self.placer.remove(change.key)
        else:
            self.placer.put(change.entry)

    def register(self, *entries):
        for one in entries:
            self.catalog.apply_change(UpstreamChange(one.key, one))

    def serve(self, *entries):
        """List upstreams that have run for long, and serve from now on."""
        self.register(*entries)
        self.catalog.mark_complete()
        return self

    def state(self, key):
        return self.placer.upstreams[key]

    def place(self, service_time=0.05, target=0.25, deadline=0.5, **more):
        now = self.placer.now()
        request = PlacementRequest(
            more.pop('priority', 1),
            service_time,
            now + target,
            now + deadline,
            **more,
        )
        decided = []

        def decide(decision):
            decided.append(decision)
            if isinstance(decision, Placed):
                self.on_placed(decision)
                self.running.append((now_of(self) + service_time, decision))

        self.placer.place(request, decide)
        return decided

    def step(self):
        """End the requests that are due; all upstreams report their speed."""
        now = self.placer.now()
        for state in self.placer.upstreams.values():
            state.report(1.0, now)
        for ended in [one for one in self.running if one[0] <= now]:
            self.running.remove(ended)
            self.placer.release(ended[1], answered=True)
        self.placer.process_queue()


def now_of(instance):
    return instance.placer.now()


def make_instance(*entries, rate=4.0, clock=None, **options):
    return Instance(clock or ManualClock(), rate, **options).serve(*entries)


def play(instances, seconds, load, random):
    """Send ``load`` requests per second to each; return all decisions."""
    clock = instances[0].clock
    decisions = []
    for _ in range(round(seconds / STEP_SECONDS)):
        clock.advance(timedelta(seconds=STEP_SECONDS))
        for instance in instances:
            instance.step()
            count = load * STEP_SECONDS
            while random.random() < count:
                decisions.append(instance.place())
                count -= 1
    return decisions


def placed_share(decisions):
    placed = [one for one in decisions if one and isinstance(one[0], Placed)]
    return len(placed) / len(decisions)


def refusals(decisions):
    return [one[0] for one in decisions if one and isinstance(one[0], Refused)]


def most_in_a_second(times):
    """Return the highest number of ``times`` in any second."""
    most = first = 0
    for position, end in enumerate(times):
        while times[first] <= end - 1:
            first += 1
        most = max(most, position - first + 1)
    return most
