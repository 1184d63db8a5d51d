"""Guards against quotas that each holder after a lost home grants anew.

Requests of an account arrive at all instances at all times. The home is lost up
to two times within a window. Each time all instances use their parts, until
they follow the successor one after the other.
"""

from random import Random

import pytest

from crocusproxy.limits.account_quota import (
    AccountQuotas,
    Admitted,
)
from crocusproxy.limits.quota_division import (
    PartOfQuota,
    WholeQuota,
)
from crocusproxy.routes.model import ClientAccount

from .test_account_quota_machine import BOUNDS, most_permitted

STEP_SECONDS = 0.02
#: An instance sends more than any quota permits.
ATTEMPTS_PER_STEP = 3
MAX_SECONDS_WITHOUT_HOME = 1.2
#: In this time after the successor, the last instance follows it.
MAX_OVERLAP_SECONDS = 0.3
FILL_SECONDS = 1000


class Site:
    """Instances of which one dispatches, or all while there is no home."""

    def __init__(self, account, instance_count, random):
        self.account = account
        self.random = random
        self.now = 0.0
        self.generation = 0
        self.sent = []
        self.instances = [
            AccountQuotas(BOUNDS, random) for _ in range(instance_count)
        ]
        for quotas in self.instances:
            quotas.apply_accounts([account], self.now)
        self.home = self.instances[0]
        self.home.apply_division(WholeQuota(), self.now)
        self.send(self.home)
        self.now = FILL_SECONDS

    def send(self, quotas):
        for _ in range(ATTEMPTS_PER_STEP):
            if quotas.admit(self.account, self.now) != Admitted():
                return
            self.sent.append(self.now)

    def serve(self, seconds):
        """Let the home dispatch all that it may."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            while self.home.admit(self.account, self.now) == Admitted():
                self.sent.append(self.now)

    def lose_home(self):
        """Let another instance succeed the home, which is gone."""
        self.instances.remove(self.home)
        without_home = list(self.instances)
        count = len(without_home) + 1
        for position, quotas in enumerate(without_home):
            division = PartOfQuota(count, position, self.generation)
            quotas.apply_division(division, self.now)
        ends_at = self.now + self.random.uniform(0, MAX_SECONDS_WITHOUT_HOME)
        while self.now < ends_at:
            self.step(without_home)
        self.home = without_home.pop(0)
        self.generation += 1
        self.home.apply_division(WholeQuota(), self.now)
        overlap = self.random.uniform(0, MAX_OVERLAP_SECONDS)
        steps = max(round(overlap / STEP_SECONDS), 1)
        for rest in range(steps, 0, -1):
            following = len(without_home) // rest
            for quotas in without_home[:following]:
                division = PartOfQuota(count, 0, self.generation)
                quotas.apply_division(division, self.now)
            without_home = without_home[following:]
            self.step(without_home)

    def step(self, without_home):
        self.now += STEP_SECONDS
        if self.home in self.instances:
            while self.home.admit(self.account, self.now) == Admitted():
                self.sent.append(self.now)
        for quotas in without_home:
            self.send(quotas)

    def most_in_a_window(self):
        most = first = 0
        for index, sent_at in enumerate(self.sent):
            while self.sent[first] <= sent_at - BOUNDS.window:
                first += 1
            most = max(most, index - first + 1)
        return most


@pytest.mark.parametrize('instance_count', [3, 6, 30, 312])
@pytest.mark.parametrize(
    ('rate', 'burst'), [(20, 200), (132, 132), (1, 1), (3, 0), (500, 20)]
)
@pytest.mark.parametrize('losses', [1, 2])
def test_all_holders_of_a_quota_together_keep_it(
    instance_count, rate, burst, losses
):
    """Instances without a home and the successor each granted the start."""
    account = ClientAccount('a', (), None, rate, burst)
    for seed in range(8):
        random = Random(seed)
        site = Site(account, instance_count, random)
        site.serve(random.uniform(0, 1))
        for _ in range(losses):
            site.lose_home()
            site.serve(random.uniform(0, 1))
        site.serve(BOUNDS.window)
        assert site.most_in_a_window() <= most_permitted(account)


@pytest.mark.parametrize('instance_count', [3, 100, 312])
def test_instances_without_a_home_start_with_one_start_together(instance_count):
    """Parts that each instance drew at random exceeded it by chance."""
    account = ClientAccount('a', (), None, 20, 200)
    counts = []
    for position in range(instance_count):
        quotas = AccountQuotas(BOUNDS, Random(position))
        quotas.apply_accounts([account], 0)
        quotas.apply_division(PartOfQuota(instance_count, position), 0)
        decisions = [quotas.admit(account, 0) for _ in range(60)]
        counts.append(decisions.count(Admitted()))
    whole = AccountQuotas(BOUNDS, Random(1))
    whole.apply_accounts([account], 0)
    whole.apply_division(WholeQuota(), 0)
    decisions = [whole.admit(account, 0) for _ in range(60)]
    assert sum(counts) == decisions.count(Admitted())
