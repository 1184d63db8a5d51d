"""Check for entries with the same name."""

from collections.abc import Iterable, Iterator

from .findings import Finding, error


def repeated_names(collection: str, names: Iterable[str]) -> Iterator[Finding]:
    """Yield the entries of a collection whose name an earlier one has."""
    first: dict[str, int] = {}
    for index, name in enumerate(names):
        if first.setdefault(name, index) != index:
            yield error(
                'name_repeated',
                f'{name!r} is also the name of entry {first[name]}',
                collection,
                index,
                'name',
            )
