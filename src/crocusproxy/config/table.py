"""Immutable mapping of upstreams, grouped by service.

A new generation shares all unchanged groups with its predecessor. An edit
copies one group, and generations are compared by the identity of their groups.
The address index is split into hash buckets; an edit copies only those that it
changes.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import Upstream

_Group = Mapping[str, 'Upstream']
_Bucket = dict[str, tuple['Upstream', ...]]
_AddressIndex = tuple[_Bucket, ...]

_BUCKET_COUNT = 256
_EMPTY_ADDRESS_INDEX: _AddressIndex = ({},) * _BUCKET_COUNT


class UpstreamTable(Mapping[str, 'Upstream']):
    """Upstreams by key, which has the form ``service/name``."""

    __slots__ = ('groups', 'address_index', 'size')

    def __init__(
        self,
        groups: Mapping[str, _Group],
        address_index: _AddressIndex = _EMPTY_ADDRESS_INDEX,
    ) -> None:
        self.groups = groups
        self.address_index = address_index
        self.size = sum(len(group) for group in groups.values())

    @classmethod
    def from_mapping(
        cls, upstreams: Mapping[str, 'Upstream']
    ) -> 'UpstreamTable':
        """Group a plain mapping; a table is returned unchanged."""
        if isinstance(upstreams, UpstreamTable):
            return upstreams
        return cls({}).with_edits(upstreams, ())

    def with_edits(
        self,
        put: Mapping[str, 'Upstream'],
        removed: Iterable[str],
    ) -> 'UpstreamTable':
        """Return a table with some upstreams replaced, added or removed."""
        changed: dict[str, dict[str, Upstream]] = {}
        address_index = _AddressIndexBuilder(self.address_index)
        for removed_key in removed:
            address_index.remove(
                self._writable_group(changed, removed_key).pop(
                    removed_key, None
                )
            )
        for key, upstream in put.items():
            group = self._writable_group(changed, key)
            address_index.remove(group.get(key))
            address_index.add(upstream)
            group[key] = upstream
        merged = {**self.groups, **changed}
        for service, group in changed.items():
            if not group:
                merged.pop(service)
        return UpstreamTable(merged, address_index.build())

    def at_address(self, address: str) -> tuple['Upstream', ...]:
        """Return the upstreams of all services at an address."""
        return self.address_index[_bucket_of(address)].get(address, ())

    def group(self, service: str) -> _Group:
        """Return the upstreams of one service by key."""
        return self.groups.get(service, {})

    def __getitem__(self, key: str) -> 'Upstream':
        """Return the upstream with this key."""
        return self.group(_service_of(key))[key]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys, service by service."""
        for group in self.groups.values():
            yield from group

    def __len__(self) -> int:
        """Return the number of upstreams."""
        return self.size

    def __repr__(self) -> str:
        """Show the table as a plain mapping."""
        return repr(dict(self))

    def _writable_group(
        self,
        changed: dict[str, dict[str, 'Upstream']],
        key: str,
    ) -> dict[str, 'Upstream']:
        service = _service_of(key)
        if service not in changed:
            changed[service] = dict(self.group(service))
        return changed[service]


class _AddressIndexBuilder:
    """Builds an edited address index; copies each changed bucket once."""

    def __init__(self, buckets: _AddressIndex) -> None:
        self.buckets = list(buckets)
        self.changed: dict[int, _Bucket] = {}

    def add(self, upstream: 'Upstream') -> None:
        bucket = self._writable_bucket(upstream.address)
        others = bucket.get(upstream.address, ())
        bucket[upstream.address] = (*others, upstream)

    def remove(self, upstream: 'Upstream | None') -> None:
        if upstream is None:
            return
        bucket = self._writable_bucket(upstream.address)
        others = tuple(
            other
            for other in bucket.pop(upstream.address, ())
            if other.key != upstream.key
        )
        if others:
            bucket[upstream.address] = others

    def build(self) -> _AddressIndex:
        for bucket_number, bucket in self.changed.items():
            self.buckets[bucket_number] = bucket
        return tuple(self.buckets)

    def _writable_bucket(self, address: str) -> '_Bucket':
        bucket_number = _bucket_of(address)
        if bucket_number not in self.changed:
            self.changed[bucket_number] = dict(self.buckets[bucket_number])
        return self.changed[bucket_number]


def _bucket_of(address: str) -> int:
    return hash(address) % _BUCKET_COUNT


def _service_of(key: str) -> str:
    return key.partition('/')[0]
