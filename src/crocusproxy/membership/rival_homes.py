"""Detection of another home by the home itself."""

from collections.abc import Iterable, Sequence

from ..protocol.home_feed import Member, MemberView
from .election import yields_to

#: Members with the best ranks that a home queries at each check: another home
#: is most likely among them.
CHECKED_BEST_MEMBERS = 3


def checked_members(
    non_followers: Sequence[Member], check_count: int
) -> tuple[Member, ...]:
    """Return the members to query at a check, the best and one in rotation.

    ``non_followers`` do not follow this home, in the order of their rank.
    """
    if not non_followers:
        return ()
    rotated = non_followers[check_count % len(non_followers)]
    best = non_followers[:CHECKED_BEST_MEMBERS]
    return tuple(dict.fromkeys((*best, rotated)))


def find_better_home(
    own: MemberView, views: Iterable[MemberView | None]
) -> MemberView | None:
    """Return a view whose home this one should follow; ``own`` is a home's."""
    for view in views:
        if view is None or view.home is None:
            continue
        if view.home.name != own.member.name and yields_to(own, view):
            return view
    return None
