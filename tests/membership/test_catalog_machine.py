"""Drives a catalog with reports that come late, twice and in any order.

Guards against a configuration that goes back, and against requests to an
upstream after the instance was told that it leaves or is gone.
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
    """Return what an upstream says of itself; it leaves in its last report."""
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


class Catalogs(RuleBasedStateMachine):
    """One catalog that hears the store, the home and followers by turns."""

    def __init__(self):
        super().__init__()
        self.catalog = Catalog()
        self.versions = []
        self.seen = {}
        self.catalog.on_config.append(
            lambda config: self.versions.append(config.version)
        )

    def note(self, entry):
        known = self.seen.get(entry.key, (0, 0))
        told = (entry.started_at, entry.sequence)
        self.seen[entry.key] = max(known, told)

    @rule(version=st.integers(1, 6))
    def apply_config(self, version):
        self.catalog.apply_config(RouteConfig(version, (), ()))

    @rule(key=keys, start=starts, sequence=sequences)
    def hear(self, key, start, sequence):
        entry = report(key, start, sequence)
        self.note(entry)
        self.catalog.apply_change(UpstreamChange(key, entry))

    @rule(key=keys)
    def hear_of_removal(self, key):
        self.catalog.apply_change(UpstreamChange(key))

    @rule(
        listed=st.dictionaries(keys, st.tuples(starts, sequences), max_size=2)
    )
    def hear_the_list(self, listed):
        entries = tuple(report(key, *told) for key, told in listed.items())
        for entry in entries:
            self.note(entry)
        self.catalog.apply_list(entries)

    @invariant()
    def versions_only_grow(self):
        assert self.versions == sorted(set(self.versions))

    @invariant()
    def no_upstream_goes_back(self):
        """In particular, one that leaves is never taken for ready again."""
        for key, entry in self.catalog.upstreams.items():
            assert (entry.started_at, entry.sequence) == self.seen[key]


Catalogs.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestCatalogs = Catalogs.TestCase
