"""How an instance describes itself to the other members."""

from ..clock import Clock
from ..protocol.home_feed import Member
from .settings import EntrySettings


def own_member(settings: EntrySettings, clock: Clock) -> Member:
    """Return this instance as a member that starts now."""
    capacity = settings.capacity
    return Member(
        settings.instance.name,
        settings.instance.failure_domain,
        f'{settings.internal.host}:{settings.internal.port}',
        f'{settings.callers.host}:{settings.callers.port}',
        round(capacity.cpu_share * capacity.cores, 2),
        round(clock.now().timestamp() * 1000),
        knows_shared=True,
    )
