"""Notification of changed attributes."""

from collections.abc import Callable
from typing import Any, ClassVar


class ChangeNotifier:
    """Calls ``on_change``, once it is set, after each write of an attribute.

    Attributes in ``unwatched`` are left out. The writers are in several
    packages; a missing notification would leave the index outdated.
    """

    __slots__ = ('on_change',)
    unwatched: ClassVar[frozenset[str]] = frozenset()
    on_change: Callable[[], None]

    def __setattr__(self, name: str, value: Any) -> None:
        """Set an attribute and notify."""
        object.__setattr__(self, name, value)
        if name not in self.unwatched:
            on_change = getattr(self, 'on_change', None)
            if on_change is not None:
                on_change()
