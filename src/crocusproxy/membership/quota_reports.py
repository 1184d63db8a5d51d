"""Totals of taken tokens that domain homes report to each other.

Totals instead of differences: a report that is lost, late or repeated changes
nothing once a later one has arrived.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ..protocol.home_feed import Member
from ..protocol.quotas import QuotaReport, TakenTokens

#: A domain home without a report for longer may be cut off.
LOST_AFTER_SECONDS = 0.5


@dataclass(slots=True)
class _Peer:
    """Another domain home.

    ``totals`` were taken since ``stream`` began, ``unconfirmed`` is the part
    of them that the peer may not know. ``known_totals`` are those of the peer
    since its start in ``known_stream``, by the report ``known_sequence``. The
    latest report came at ``heard_at``, the latest confirmation of an own one at
    ``confirmed_at``. ``supports_quotas`` is False for a build that has no quota
    reports: it takes no tokens.
    """

    started_at: int
    address: str
    stream: int
    heard_at: float
    confirmed_at: float
    sequence: int = 0
    totals: dict[str, int] = field(default_factory=dict)
    unconfirmed: dict[str, int] = field(default_factory=dict)
    known_stream: tuple[int, int] = (0, 0)
    known_sequence: int = 0
    known_totals: dict[str, int] = field(default_factory=dict)
    has_lost_peer: bool = False
    supports_quotas: bool = True


class QuotaReports:
    """Reports to and from the other domain homes.

    ``own`` is this member. ``apply`` receives the account and the number of
    tokens that another domain home has taken.
    """

    def __init__(self, own: Member, apply: Callable[[str, int], None]) -> None:
        self.own = own
        self.apply = apply
        self.peers: dict[str, _Peer] = {}
        self.stream_count = 0

    def update_peers(self, members: Collection[Member], now: float) -> None:
        """Report to these domain homes from now on."""
        names = {member.name for member in members}
        for name in tuple(self.peers):
            if name not in names:
                self.peers.pop(name)
        for member in members:
            peer = self.peers.get(member.name)
            if peer is None or peer.started_at != member.started_at:
                self.stream_count += 1
                self.peers[member.name] = _Peer(
                    member.started_at,
                    member.internal,
                    self.stream_count,
                    now,
                    now,
                )

    def restart(self, now: float) -> None:
        """Expect reports of all domain homes from now on."""
        for peer in self.peers.values():
            peer.heard_at = now
            peer.confirmed_at = now

    def record(self, account: str, count: int) -> None:
        """Record tokens that this instance has taken."""
        for peer in self._quota_peers():
            peer.totals[account] = peer.totals.get(account, 0) + count
            unconfirmed = peer.unconfirmed.get(account, 0) + count
            peer.unconfirmed[account] = unconfirmed

    def unreported(self, account: str) -> float:
        """Return the taken tokens that some domain home may not know of."""
        return max(
            (peer.unconfirmed.get(account, 0) for peer in self._quota_peers()),
            default=0,
        )

    def report_to(self, name: str, now: float) -> QuotaReport | None:
        """Return the report for a domain home, None if it is unknown."""
        peer = self.peers.get(name)
        if peer is None:
            return None
        peer.sequence += 1
        return QuotaReport(
            self.own.name,
            self.own.started_at,
            peer.stream,
            peer.sequence,
            tuple(
                TakenTokens(account, peer.totals[account])
                for account in peer.unconfirmed
            ),
            self.has_lost_peer(now),
        )

    def confirm(self, name: str, report: QuotaReport, now: float) -> None:
        """Record that a domain home has received a report."""
        peer = self.peers.get(name)
        if peer is None or peer.stream != report.stream:
            return
        peer.confirmed_at = now
        for taken in report.taken:
            rest = peer.totals[taken.account] - taken.total
            if rest:
                peer.unconfirmed[taken.account] = rest
            else:
                peer.unconfirmed.pop(taken.account, None)

    def exclude(self, name: str, report: QuotaReport) -> None:
        """Record that a domain home does not know of reports.

        Its silence would otherwise split the quotas during a whole upgrade, and
        requests within them would be rejected.
        """
        peer = self.peers.get(name)
        if peer is not None and peer.stream == report.stream:
            peer.supports_quotas = False
            peer.totals.clear()
            peer.unconfirmed.clear()

    def quota_peer_count(self) -> int:
        """Return the number of other domain homes that take tokens."""
        return len(self._quota_peers())

    def receive(self, report: QuotaReport, now: float) -> None:
        """Apply a report of another domain home."""
        peer = self.peers.get(report.sender)
        if peer is None:
            return
        stream = (report.started_at, report.stream)
        position = (*stream, report.sequence)
        if position <= (*peer.known_stream, peer.known_sequence):
            return
        if stream != peer.known_stream:
            peer.known_totals = {}
        peer.known_stream = stream
        peer.known_sequence = report.sequence
        peer.heard_at = now
        if not peer.supports_quotas:
            peer.supports_quotas = True
            peer.confirmed_at = now
        peer.has_lost_peer = report.has_lost_peer
        for taken in report.taken:
            known_total = peer.known_totals.get(taken.account, 0)
            if taken.total != known_total:
                peer.known_totals[taken.account] = taken.total
                self.apply(taken.account, taken.total - known_total)

    def has_lost_peer(self, now: float) -> bool:
        """Return whether a domain home sends or gets no reports."""
        earliest = now - LOST_AFTER_SECONDS
        return any(
            min(peer.heard_at, peer.confirmed_at) < earliest
            for peer in self._quota_peers()
        )

    def is_split(self, now: float) -> bool:
        """Return whether some domain home gets no reports of another one."""
        return self.has_lost_peer(now) or any(
            peer.has_lost_peer for peer in self._quota_peers()
        )

    def _quota_peers(self) -> list[_Peer]:
        return [peer for peer in self.peers.values() if peer.supports_quotas]
