"""Message of the view feed: an instance view, or edits to one."""

from dataclasses import dataclass

from ..membership.view import Instance, InstanceView
from .codec import MalformedMessageError


@dataclass(frozen=True, slots=True)
class ViewReply:
    """The difference between versions ``base`` and ``version``.

    Base 0 is the empty view, so such a reply holds the whole view. ``removed``
    names instances that are no longer listed, ``stayed`` upstreams that are no
    longer leaving.
    """

    version: int
    instances: tuple[Instance, ...] = ()
    leaving_upstreams: frozenset[str] = frozenset()
    removed: frozenset[str] = frozenset()
    stayed: frozenset[str] = frozenset()
    base: int = 0


def view_between(old: InstanceView, new: InstanceView) -> ViewReply:
    """Return the reply that turns ``old`` into ``new``."""
    before = {instance.name: instance for instance in old.instances}
    after = {instance.name: instance for instance in new.instances}
    return ViewReply(
        version=new.version,
        instances=tuple(
            instance
            for name, instance in after.items()
            if before.get(name) != instance
        ),
        leaving_upstreams=new.leaving_upstreams - old.leaving_upstreams,
        removed=frozenset(before.keys() - after.keys()),
        stayed=old.leaving_upstreams - new.leaving_upstreams,
        base=old.version,
    )


def apply_view(current: InstanceView, reply: ViewReply) -> InstanceView:
    """Return the newer of ``current`` and the view of ``reply``.

    Raises:
        MalformedMessageError: the reply is based on another version.
    """
    if reply.version <= current.version:
        return current
    base = current if reply.base else InstanceView()
    if reply.base != base.version:
        raise MalformedMessageError(
            f'edits since version {reply.base} were received '
            f'at version {current.version}'
        )
    merged = {instance.name: instance for instance in base.instances}
    merged.update({instance.name: instance for instance in reply.instances})
    remaining = merged.keys() - reply.removed
    leaving = base.leaving_upstreams | reply.leaving_upstreams
    return InstanceView(
        reply.version,
        tuple(merged[name] for name in sorted(remaining)),
        leaving - reply.stayed,
    )
