"""The choice of the home out of what the members say of themselves.

There is no vote: a wrong choice costs time and never correctness, and two homes
find each other and become one.
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
    """Ask again shortly: another member is about to become home."""


Election = Attach | Lead | RetryElection


def elect(
    own: Member,
    views: Iterable[MemberView],
    lost_home: str,
    last_epoch: int,
    *,
    may_wait: bool,
) -> Election:
    """Decide what a member without a home does.

    ``views`` are the replies of the others that can be reached. ``lost_home``
    names the home that did not answer any more. While ``may_wait``, a member
    that still follows the lost home is given time to notice the loss.
    """
    replies = [view for view in views if view.member.name != own.name]
    homes = [view for view in replies if view.state == 'home']
    attached = [view for view in replies if view.state == 'attached']
    others = [view for view in attached if _home_name(view) != lost_home]
    if homes or others:
        return Attach(best_home(homes or others).member)
    ranks = [view.member.rank for view in replies if view.state == 'searching']
    is_next = min(ranks, default=own.rank) >= own.rank
    if may_wait and (attached or not is_next):
        return RetryElection()
    if attached:
        return Attach(best_home(attached).member)
    known = [view.epoch for view in replies]
    return Lead(max((last_epoch, *known)) + 1)


def best_home(views: Iterable[MemberView]) -> MemberView:
    """Return the view with the home that took over last."""
    return min(views, key=_precedence)


def yields_to(own: MemberView, other: MemberView) -> bool:
    """Return whether one home gives way to another one."""
    return _precedence(other) < _precedence(own)


def _precedence(view: MemberView) -> tuple[int, float, str]:
    home = view.home or view.member
    return -view.epoch, *home.rank


def _home_name(view: MemberView) -> str:
    return view.home.name if view.home else ''
