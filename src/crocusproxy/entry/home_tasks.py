"""The tasks that only the home runs."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..membership.domain_home_planner import DomainHomePlanner
from ..membership.home_elector import HomeElector
from ..membership.reach_judge import ReachJudge
from ..platform.members import RosterWriter
from ..platform.outage import StoreOutage
from ..platform.store import StoreClient
from ..platform.watch import ConfigWatch, UpstreamWatch
from .background_tasks import Run
from .reach_check import ReachQueries


def home_tasks(
    store: StoreClient,
    elector: HomeElector,
    clock: Clock,
    random: Random,
    reach_queries: ReachQueries,
    upstream_heartbeat: timedelta,
) -> Iterator[Run]:
    """Yield the tasks that read the store and appoint the domain homes."""
    catalog = elector.catalog
    outage = StoreOutage(random)
    yield ConfigWatch(store, catalog, clock, outage).run
    yield UpstreamWatch(store, catalog, clock, outage, upstream_heartbeat).run
    domain_homes = elector.domain_homes
    judge = ReachJudge(
        reach_queries.ask, reach_queries.check.find_triable, clock, random
    )
    yield DomainHomePlanner(elector, catalog, domain_homes, judge).run
    yield RosterWriter(store, elector.member_list, domain_homes).run
