"""Election of the home from the views that members report.

Members do not vote, so two homes can exist for a time. This can delay requests
but never violates correctness; when one home detects the other, one of them
steps down.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..protocol.home_feed import Member, MemberView


@dataclass(frozen=True, slots=True)
class Attach:
    """Follow the feed of ``member``, which is home or attached to it."""

    member: Member


@dataclass(frozen=True, slots=True)
class Lead:
    """Become home with ``epoch``."""

    epoch: int


@dataclass(frozen=True, slots=True)
class RetryElection:
    """Query the members again later.

    Another member is about to become home, or still follows the lost home.
    """


ElectionResult = Attach | Lead | RetryElection


def elect(
    own: Member,
    views: Iterable[MemberView],
    lost_home_name: str,
    last_epoch: int,
    *,
    may_wait: bool,
    may_defer: bool = True,
) -> ElectionResult:
    """Decide the next step of a member without a home.

    ``views`` are the replies of the members that can be reached.
    ``lost_home_name`` is the home that stopped responding. While ``may_wait``
    is set, members that still follow the lost home are given time to detect
    the loss, and while ``may_defer`` is, members with a better rank to become
    home.
    """
    replies = [view for view in views if view.member.name != own.name]
    homes = [view for view in replies if view.state == 'home']
    attached = [view for view in replies if view.state == 'attached']
    usable_views = [
        view for view in attached if _home_name(view) != lost_home_name
    ]
    if homes or usable_views:
        return Attach(view_of_newest_home(homes or usable_views).member)
    ranks = [view.member.rank for view in replies if view.state == 'searching']
    ranks_first = min(ranks, default=own.rank) >= own.rank
    if (may_wait and attached) or (may_defer and not ranks_first):
        return RetryElection()
    if attached:
        return Attach(view_of_newest_home(attached).member)
    epochs = [view.epoch for view in replies]
    return Lead(max((last_epoch, *epochs)) + 1)


def view_of_newest_home(views: Iterable[MemberView]) -> MemberView:
    """Return the view whose home has the highest epoch."""
    return min(views, key=_sort_key)


def yields_to(own: MemberView, other: MemberView) -> bool:
    """Return whether one home steps down in favor of another."""
    return _sort_key(other) < _sort_key(own)


def _sort_key(view: MemberView) -> tuple[int, float, str]:
    home = view.home or view.member
    return -view.epoch, *home.rank


def _home_name(view: MemberView) -> str:
    return view.home.name if view.home else ''
