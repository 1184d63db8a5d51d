"""Message of the configuration feed: a document, or edits to one."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..config.change import RULES_VERSION, Delete, Put, edits_between
from ..config.model import Document, Service, Upstream
from ..errors import CrocusError
from .codec import MalformedMessageError


class RulesUnknownError(CrocusError):
    """A received document has an unknown version of the validation rules."""

    code = 'config_rules_unknown'


@dataclass(frozen=True, slots=True)
class DocumentReply:
    """The difference between generations ``base`` and ``generation``.

    Base 0 is the empty document, so a reply with base 0 holds the whole
    document and can be decoded as ``Document``. Readers that do not request
    edits receive such replies.
    """

    generation: int
    services: Mapping[str, Service] = field(default_factory=dict)
    upstreams: Mapping[str, Upstream] = field(default_factory=dict)
    removed_services: tuple[str, ...] = ()
    removed_upstreams: tuple[str, ...] = ()
    base: int = 0
    rules: int = RULES_VERSION


def reply_between(old: Document, new: Document) -> DocumentReply:
    """Return the reply that turns ``old`` into ``new``."""
    if not old.generation:
        return DocumentReply(
            new.generation, dict(new.services), dict(new.upstreams)
        )
    services: dict[str, Service] = {}
    upstreams: dict[str, Upstream] = {}
    removed: dict[str, list[str]] = {'service': [], 'upstream': []}
    for edit in edits_between(old, new):
        match edit:
            case Put(key=key, value=Service() as service):
                services[key] = service
            case Put(key=key, value=Upstream() as upstream):
                upstreams[key] = upstream
            case Delete(kind=kind, key=key):
                removed[kind].append(key)
    return DocumentReply(
        generation=new.generation,
        services=services,
        upstreams=upstreams,
        removed_services=tuple(removed['service']),
        removed_upstreams=tuple(removed['upstream']),
        base=old.generation,
    )


def apply_reply(current: Document, reply: DocumentReply) -> Document:
    """Return the newer of ``current`` and the document of ``reply``.

    Raises:
        RulesUnknownError: the reply has a newer version of the rules.
        MalformedMessageError: the reply is based on another generation.
    """
    if reply.rules > RULES_VERSION:
        raise RulesUnknownError(
            f'the document uses validation rules {reply.rules}',
            hint='update this program',
        )
    if reply.generation <= current.generation:
        return current
    if not reply.base:
        return Document(reply.generation, reply.services, reply.upstreams)
    if reply.base != current.generation:
        raise MalformedMessageError(
            f'edits since generation {reply.base} were received '
            f'at generation {current.generation}'
        )
    return _apply_edits(current, reply)


def _apply_edits(current: Document, reply: DocumentReply) -> Document:
    services = {**current.services, **reply.services}
    for name in reply.removed_services:
        services.pop(name, None)
    upstreams = current.table.with_edits(
        reply.upstreams, reply.removed_upstreams
    )
    return Document(reply.generation, services, upstreams)
