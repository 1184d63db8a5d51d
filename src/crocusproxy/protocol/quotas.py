"""Reports of domain homes about the tokens that they have taken."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TakenTokens:
    """Tokens of the quota of ``account`` taken since the stream began."""

    account: str
    total: int


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What the domain home ``sender`` has taken, for one other domain home.

    ``started_at`` of the sender and ``stream`` identify the start of the
    totals; a new stream begins with zeros. A report with a lower ``sequence``
    is older. Only accounts whose total was not confirmed yet are contained.
    With ``has_lost_peer``, the sender gets no reports of some domain home.
    """

    sender: str
    started_at: int
    stream: int
    sequence: int
    taken: tuple[TakenTokens, ...] = ()
    has_lost_peer: bool = False
