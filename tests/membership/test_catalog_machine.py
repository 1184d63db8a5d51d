"""Drives a catalog with late, duplicate and reordered reports.

Guards against a return to an older configuration, and against requests to an
upstream that is known to be leaving or removed.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusproxy.membership.catalog import Catalog
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import RegisteredUpstream, RouteConfig

KEYS = ('1', '2')
keys = st.sampled_from(KEYS)
starts = st.integers(1, 3)
sequences = st.integers(1, 4)


def report(key, start, sequence):
    """Return a report of an upstream; it is leaving in its last report."""
    return RegisteredUpstream(
        key,
        's',
        '10.0.0.1:80',
        'a',
        2,
        leaving=sequence == 4,
        started_at=start,
        sequence=sequence,
    )


class CatalogMachine(RuleBasedStateMachine):
    """One catalog that the store, the home and followers update in turn."""

    def __init__(self):
        super().__init__()
        self.catalog = Catalog()
        self.versions = []
        self.latest = {}
        self.catalog.on_config.append(
            lambda config: self.versions.append(config.version)
        )

    def track(self, entry):
        latest_version = self.latest.get(entry.key, (0, 0))
        received = (entry.started_at, entry.sequence)
        self.latest[entry.key] = max(latest_version, received)

    @rule(version=st.integers(1, 6))
    def apply_config(self, version):
        self.catalog.apply_config(RouteConfig(version, (), ()))

    @rule(key=keys, start=starts, sequence=sequences)
    def apply_report(self, key, start, sequence):
        entry = report(key, start, sequence)
        self.track(entry)
        self.catalog.apply_change(UpstreamChange(key, entry))

    @rule(key=keys)
    def apply_removal(self, key):
        self.catalog.apply_change(UpstreamChange(key))

    @rule(
        listed=st.dictionaries(keys, st.tuples(starts, sequences), max_size=2)
    )
    def apply_list(self, listed):
        entries = tuple(
            report(key, *version) for key, version in listed.items()
        )
        for entry in entries:
            self.track(entry)
        self.catalog.apply_list(entries)

    @invariant()
    def versions_increase(self):
        assert self.versions == sorted(set(self.versions))

    @invariant()
    def no_upstream_reverts(self):
        """In particular, a leaving upstream never becomes ready again."""
        for key, entry in self.catalog.upstreams.items():
            assert (entry.started_at, entry.sequence) == self.latest[key]


CatalogMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestCatalogMachine = CatalogMachine.TestCase
