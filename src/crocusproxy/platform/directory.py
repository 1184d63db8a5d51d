"""Paths and format of the address directory for callers and the platform."""

from datetime import timedelta

from pydantic import ConfigDict, alias_generators
from pydantic.dataclasses import dataclass

from ..adapters import adapter_for
from ..entry.listeners import AddressList, DirectoryApi

_SECOND = timedelta(seconds=1)


@dataclass(
    frozen=True,
    slots=True,
    config=ConfigDict(
        alias_generator=alias_generators.to_pascal, validate_by_name=True
    ),
)
class _Resolved:
    addresses: tuple[str, ...]
    # Whole or fractional seconds; callers may cache the response for longer.
    ttl_s: float


def encode_addresses(address_list: AddressList) -> bytes:
    """Return an address list in the format that callers read.

    >>> encode_addresses(AddressList(('10.0.0.1:80',), timedelta(seconds=1)))
    b'{"Addresses":["10.0.0.1:80"],"TtlS":1.0}'
    """
    resolved = _Resolved(
        addresses=address_list.addresses, ttl_s=address_list.validity / _SECOND
    )
    return adapter_for(_Resolved).dump_json(resolved, by_alias=True)


DIRECTORY_API = DirectoryApi(
    '/-/resolve', '/-/readiness', 'Zone', encode_addresses
)
