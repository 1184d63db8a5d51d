"""Guards against tokens that are counted twice, not at all or given back."""

from crocusproxy.membership.quota_reports import (
    LOST_AFTER_SECONDS,
    QuotaReports,
)
from crocusproxy.protocol.home_feed import Member


class Home:
    """One domain home and what it knows of the others."""

    def __init__(self, name, started_at=1):
        self.member = Member(name, name, '', '', 1.0, started_at)
        self.known = 0
        self.reports = QuotaReports(self.member, self.apply)

    def apply(self, account, count):
        self.known += count

    def take(self, count=1):
        self.reports.record('x', count)

    def report(self, other, now=0):
        return self.reports.report_to(other.member.name, now)


def exchange(now, *pairs):
    """Let the first of each pair post its report to the second."""
    for sender, receiver in pairs:
        report = sender.report(receiver, now)
        receiver.reports.receive(report, now)
        receiver.reports.confirm(
            sender.member.name, receiver.report(sender, now), now
        )
        sender.reports.receive(receiver.report(sender, now), now)
        sender.reports.confirm(receiver.member.name, report, now)


def make_homes(names='ab'):
    homes = [Home(name) for name in names]
    for home in homes:
        others = [one.member for one in homes if one is not home]
        home.reports.update_peers(others, 0)
    return homes


def test_lost_report_is_made_up_for_by_the_next_one():
    first, second = make_homes()
    first.take(2)
    first.report(second)
    first.take()
    second.reports.receive(first.report(second), 0)
    assert second.known == 3


def test_repeated_and_late_reports_change_nothing():
    first, second = make_homes()
    first.take(2)
    early = first.report(second)
    first.take(3)
    late = first.report(second)
    for report in (late, early, late):
        second.reports.receive(report, 0)
    assert second.known == 5


def test_token_is_unreported_until_all_have_confirmed():
    first, second, third = make_homes('abc')
    first.take(2)
    report = first.report(second)
    first.take()
    first.reports.confirm('b', report, 0)
    assert first.reports.unreported('x') == 3
    first.reports.confirm('c', first.report(third), 0)
    assert first.reports.unreported('x') == 1
    first.reports.confirm('b', first.report(second), 0)
    assert first.reports.unreported('x') == 0
    assert not first.report(second).taken


def test_refund_is_reported():
    first, second = make_homes()
    first.take(2)
    report = first.report(second)
    second.reports.receive(report, 0)
    first.reports.confirm('b', report, 0)
    first.take(-1)
    second.reports.receive(first.report(second), 0)
    assert second.known == 1


def test_restarted_domain_home_is_told_only_of_later_tokens():
    """It would otherwise subtract all tokens since the sender's start."""
    first, _ = make_homes()
    first.take(1000)
    restarted = Home('b', started_at=2)
    restarted.reports.update_peers([first.member], 0)
    first.reports.update_peers([restarted.member], 0)
    first.take(3)
    restarted.reports.receive(first.report(restarted), 0)
    assert restarted.known == 3


def test_report_of_an_earlier_start_is_ignored():
    first, second = make_homes()
    first.take(5)
    old = first.report(second)
    again = Home('a', started_at=2)
    again.reports.update_peers([second.member], 0)
    again.take(1)
    second.reports.receive(again.report(second), 0)
    second.reports.receive(old, 0)
    assert second.known == 1


def test_silent_domain_home_splits_the_quotas_of_all():
    """A third one sees both sides and would add its own tokens to theirs."""
    first, second, third = make_homes('abc')
    exchange(0.4, (first, second), (second, third))
    now = LOST_AFTER_SECONDS + 0.1
    assert first.reports.is_split(now)
    assert not second.reports.is_split(now)
    exchange(now, (first, second))
    assert second.reports.is_split(now)
    assert not second.reports.has_lost_peer(now)
    exchange(now, (first, third), (first, second), (second, third))
    assert not any(home.reports.is_split(now) for home in (first, second))


def test_domain_home_that_gets_no_reports_splits_the_quotas():
    """Its own tokens would stay unreported, and it would reject too much."""
    first, second = make_homes()
    now = LOST_AFTER_SECONDS + 0.1
    first.reports.receive(second.report(first, now), now)
    assert first.reports.has_lost_peer(now)


def test_unknown_sender_is_ignored():
    first, second = make_homes()
    second.reports.update_peers([], 0)
    second.reports.receive(first.report(second), 0)
    assert second.report(first) is None
    assert second.known == 0
