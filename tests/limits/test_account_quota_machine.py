"""State machine test of an account's quota over several instances.

Guards against more requests in a window than the quota permits, for any
division of the requests over the domain homes, with late, lost and repeated
reports, cut links, a change of the only home and a lowered quota.
"""

from collections import deque
from dataclasses import replace
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from crocusproxy.limits.account_quota import (
    AccountQuotas,
    Admitted,
    QuotaBounds,
)
from crocusproxy.limits.quota_division import (
    PartOfQuota,
    SharedQuota,
    SplitQuota,
    WholeQuota,
)
from crocusproxy.membership.quota_reports import QuotaReports
from crocusproxy.protocol.home_feed import Member
from crocusproxy.routes.model import ClientAccount

BOUNDS = QuotaBounds(5, 0.1, 20)
HOMES = 3
STEP_SECONDS = 0.05
STEPS_PER_REPORT = 2
INSTANCES_OF_SITE = 100
#: Fills the largest bucket at the lowest rate.
IDLE_SECONDS = 10_000


def most_permitted(account):
    quota = account.rate * BOUNDS.window + account.burst
    return quota * (1 + BOUNDS.overage) + BOUNDS.slack


class Home:
    """One domain home with its quotas and its reports."""

    def __init__(self, name, account, now):
        self.member = Member(name, name, '', '', 1.0, 1)
        self.quotas = AccountQuotas(BOUNDS, Random(1))
        self.reports = QuotaReports(
            self.member,
            lambda account, count: self.quotas.apply_takes(
                account, count, self.now
            ),
        )
        self.quotas.unreported = self.reports.unreported
        self.quotas.on_take = self.reports.record
        self.quotas.apply_accounts([account], now)
        self.now = now

    def set_time(self, now):
        self.now = now
        if self.reports.peers:
            is_split = self.reports.is_split(now)
            division = SplitQuota if is_split else SharedQuota
            self.quotas.apply_division(division(HOMES), now)

    def receive(self, report):
        self.reports.receive(report, self.now)
        self.set_time(self.now)


class QuotaOfSeveralInstances(RuleBasedStateMachine):
    """Instances that use all that they may."""

    def begin(self, rate, burst):
        self.account = ClientAccount('a', (), None, rate, burst)
        self.now = 1000.0
        self.sent = deque()
        self.lowered_at = None

    def send(self, home, count):
        for _ in range(count):
            if home.quotas.admit(self.account, self.now) != Admitted():
                return
            self.sent.append(self.now)

    def lower(self, homes, factor):
        """Lower the quota; it binds one window later."""
        self.previous = self.account
        self.lowered_at = self.now
        self.account = replace(
            self.account,
            rate=self.account.rate * factor,
            burst=self.account.burst * factor,
        )
        for home in homes:
            home.quotas.apply_accounts([self.account], self.now)

    @invariant()
    def window_is_within_the_quota(self):
        if not hasattr(self, 'sent'):
            return
        while self.sent and self.sent[0] <= self.now - BOUNDS.window:
            self.sent.popleft()
        account = self.account
        if self.lowered_at is not None:
            if self.now <= self.lowered_at + BOUNDS.window:
                account = self.previous
        assert len(self.sent) <= most_permitted(account)


QUOTAS = {
    'rate': st.sampled_from((1, 10, 100, 1000)),
    'burst': st.sampled_from((0, 1, 20, 200, 1000)),
}


class SeveralDomainHomes(QuotaOfSeveralInstances):
    """Domain homes with an unreliable network between them."""

    @initialize(**QUOTAS)
    def start(self, rate, burst):
        self.begin(rate, burst)
        self.homes = [Home(name, self.account, self.now) for name in 'abc']
        self.cuts = set()
        self.delayed = []
        members = [home.member for home in self.homes]
        for home in self.homes:
            others = [one for one in members if one is not home.member]
            home.reports.update_peers(others, self.now)
            home.set_time(self.now)

    @rule(
        seconds=st.sampled_from((0.05, 0.3, 1, 6)),
        shares=st.tuples(*[st.sampled_from((0, 0.2, 1, 5))] * HOMES),
        losing=st.booleans(),
        delaying=st.booleans(),
    )
    def load(self, seconds, shares, losing, delaying):
        """Send requests while reports are exchanged, some lost or late."""
        for step in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for home, share in zip(self.homes, shares, strict=True):
                home.set_time(self.now)
                per_step = self.account.rate * STEP_SECONDS * share
                self.send(home, round(per_step + share))
            if step % STEPS_PER_REPORT == 0:
                self.exchange(losing and step % 3 == 0, delaying)
            self.window_is_within_the_quota()

    @rule(counts=st.tuples(*[st.sampled_from((0, 5, 2000))] * HOMES))
    def burst(self, counts):
        for home, count in zip(self.homes, counts, strict=True):
            self.send(home, count)

    @rule()
    def idle(self):
        """Fill all buckets, with the links as they are."""
        self.now += IDLE_SECONDS
        for home in self.homes:
            if not self.cuts:
                for peer in home.reports.peers.values():
                    peer.heard_at = self.now
                    peer.confirmed_at = self.now
            home.set_time(self.now)

    @rule(pair=st.sampled_from(((0, 1), (0, 2), (1, 2))))
    def cut(self, pair):
        self.cuts.add(pair)

    @rule()
    def heal(self):
        self.cuts.clear()

    @rule(factor=st.sampled_from((0.1, 0.5)))
    def lower_quota(self, factor):
        if self.lowered_at is None:
            self.lower(self.homes, factor)

    @rule()
    def deliver_late_reports(self):
        """An earlier report that arrives last must not undo a later one."""
        for home, report in self.delayed:
            home.receive(report)
        self.delayed.clear()

    def exchange(self, losing, delaying):
        for sender in range(HOMES):
            for receiver in range(HOMES):
                pair = tuple(sorted((sender, receiver)))
                if sender != receiver and pair not in self.cuts:
                    self.post(
                        self.homes[sender],
                        self.homes[receiver],
                        losing,
                        delaying,
                    )

    def post(self, sender, receiver, losing, delaying):
        now = self.now
        report = sender.reports.report_to(receiver.member.name, now)
        if delaying:
            self.delayed.append((receiver, report))
        receiver.receive(report)
        reply = receiver.reports.report_to(sender.member.name, now)
        if losing:
            return
        sender.receive(reply)
        sender.reports.confirm(receiver.member.name, report, now)


class ChangingHome(QuotaOfSeveralInstances):
    """One home that changes at most once in a window."""

    @initialize(**QUOTAS)
    def start(self, rate, burst):
        self.begin(rate, burst)
        self.homes = [Home(name, self.account, self.now) for name in 'ab']
        for home in self.homes:
            home.quotas.apply_division(PartOfQuota(INSTANCES_OF_SITE), self.now)
        self.home = self.homes[0]
        self.home.quotas.apply_division(WholeQuota(), self.now)
        self.changed_at = self.now

    @rule(
        seconds=st.sampled_from((0.05, 1, 6)),
        factor=st.sampled_from((0, 0.5, 3)),
    )
    def load(self, seconds, factor):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            per_step = self.account.rate * STEP_SECONDS * factor
            self.send(self.home, round(per_step + factor))
            self.window_is_within_the_quota()

    @rule()
    def burst(self):
        self.send(self.home, 5000)

    @rule()
    def idle(self):
        self.now += IDLE_SECONDS

    @rule(is_new=st.booleans())
    def change(self, is_new):
        if self.now <= self.changed_at + BOUNDS.window:
            return
        self.changed_at = self.now
        self.burst()
        previous = self.home
        self.home = next(one for one in self.homes if one is not previous)
        previous.quotas.apply_division(PartOfQuota(INSTANCES_OF_SITE), self.now)
        if is_new:
            self.homes.remove(self.home)
            self.home = Home(self.home.member.name, self.account, self.now)
            self.homes.append(self.home)
        self.home.quotas.apply_division(WholeQuota(), self.now)
        self.burst()

    @rule(factor=st.sampled_from((0.1, 0.5)))
    def lower_quota(self, factor):
        if self.lowered_at is None:
            self.lower(self.homes, factor)


SeveralDomainHomes.TestCase.settings = settings(
    max_examples=150, stateful_step_count=15, deadline=None
)
ChangingHome.TestCase.settings = settings(
    max_examples=100, stateful_step_count=15, deadline=None
)
TestSeveralDomainHomes = SeveralDomainHomes.TestCase
TestChangingHome = ChangingHome.TestCase
