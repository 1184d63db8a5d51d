"""The exchanges with other members besides the home's feed."""

from dataclasses import dataclass

from aiohttp import web

from ..clock import Clock
from ..limits.account_quota import AccountQuotas
from ..membership.catalog import Catalog
from ..membership.crash_exchange import CrashExchange
from ..membership.domain_homes import DomainHomeTable
from ..membership.home_elector import HomeElector
from ..membership.member_client import MemberClient
from ..membership.member_list import MemberList
from ..membership.quota_exchange import QuotaExchange
from ..membership.terms_exchange import TermsExchange
from .crash_watch import CrashWatch
from .reach_check import ReachCheck, ReachQueries


@dataclass(frozen=True, slots=True)
class MemberExchanges:
    """What an instance tells and asks other members."""

    reach_queries: ReachQueries
    crashes: CrashExchange
    terms: TermsExchange
    quotas: QuotaExchange

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the port for other members."""
        return [
            *self.crashes.routes(),
            *self.terms.routes(),
            *self.quotas.routes(),
            *self.reach_queries.check.routes(),
        ]


def connect_members(
    client: MemberClient,
    elector: HomeElector,
    member_list: MemberList,
    domain_homes: DomainHomeTable,
    reach_check: ReachCheck,
    crash_watch: CrashWatch,
    catalog: Catalog,
    quotas: AccountQuotas,
    clock: Clock,
) -> MemberExchanges:
    """Return the exchanges, connected with what they report and apply."""
    exchanges = MemberExchanges(
        ReachQueries(client, member_list.own.name, reach_check),
        CrashExchange(client, elector, crash_watch.apply_report),
        TermsExchange(client, elector, catalog.terms),
        QuotaExchange(client, member_list, quotas, clock),
    )
    crash_watch.send_report = exchanges.crashes.send
    exchanges.quotas.find_homes = lambda: (
        elector.epoch,
        domain_homes.assignment,
    )
    return exchanges
