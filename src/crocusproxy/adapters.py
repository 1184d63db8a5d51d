"""Cache of pydantic type adapters, built on first use."""

from typing import Any

from pydantic import TypeAdapter

_ADAPTERS: dict[Any, TypeAdapter[Any]] = {}  # noqa: WPS407 - a cache


def adapter_for(kind: Any) -> TypeAdapter[Any]:
    """Return the adapter of ``kind``; building one takes milliseconds."""
    adapter = _ADAPTERS.get(kind)
    if adapter is None:
        adapter = TypeAdapter(kind)
        _ADAPTERS[kind] = adapter
    return adapter
