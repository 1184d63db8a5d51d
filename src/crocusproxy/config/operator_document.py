"""The YAML document that operators write: services and their upstreams.

Upstreams are nested under their service by name, see
``examples/redaccion.yaml``.
"""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, TypeVar

import yaml

from ..documents import check_document, parse_yaml, read_text
from ..errors import Fault, InvalidDocumentError
from ..protocol import codec
from .model import Document, Service, Upstream
from .validation import check_content, service_path, upstream_path

_Object = TypeVar('_Object', Service, Upstream)
# Enough to represent any sum of two decimal shares as they are written.
_SHARE_TOLERANCE = 1e-9


def read_operator_file(path: Path) -> Document:
    """Read and check a file; its generation is 0.

    Raises:
        InvalidDocumentError: with every fault that was found.
    """
    return parse_operator_text(read_text(path), str(path))


def parse_operator_text(text: str, source: str) -> Document:
    """Parse and check a document; its generation is 0.

    Raises:
        InvalidDocumentError: with every fault that was found.
    """
    raw = parse_yaml(text, source)
    parser = _Parser()
    parser.read_document(raw)
    document = Document(0, parser.services, parser.upstreams)
    # The rules are also applied to what could be read, so that an operator
    # sees all faults at once.
    known = {fault.path for fault in parser.faults}
    faults = (
        *parser.faults,
        *(
            fault
            for fault in check_content(document)
            if fault.path not in known and not _follows_from(parser, fault)
        ),
    )
    if faults:
        raise InvalidDocumentError(source, faults)
    return document


def format_operator_text(document: Document) -> str:
    """Write a document in the form that ``parse_operator_text`` reads."""
    services = {}
    for name in sorted(document.services):
        plain = codec.to_plain(document.services[name])
        plain.pop('name')
        plain['upstreams'] = {
            upstream.name: {
                'address': upstream.address,
                'failure_domain': upstream.failure_domain,
                'slots': upstream.slots,
            }
            for upstream in document.upstreams_of(name)
        }
        services[name] = plain
    text: str = yaml.safe_dump({'services': services}, sort_keys=False)
    return f'# generation {document.generation}\n{text}'


def _follows_from(parser: '_Parser', fault: Fault) -> bool:
    """Tell whether a fault only reports that a service could not be read."""
    return bool(parser.faults) and fault.code == 'service_unknown'


class _Parser:
    """Collects what can be read and every fault on the way."""

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.faults: list[Fault] = []

    def read_document(self, raw: Any) -> None:
        """Read the top level, whose only key is ``services``."""
        for key, body in self.entries('', raw):
            if key != 'services':
                self.fault(key, 'no such key', 'an unknown key', 'unknown_key')
                continue
            for name, service in self.entries('services', body):
                self.read_service(name, service)
        if isinstance(raw, Mapping) and 'services' not in raw:
            self.fault('services', 'a mapping', 'nothing', 'missing_key')

    def read_service(self, name: str, raw: Any) -> None:
        """Read a service with its upstreams."""
        path = service_path(name)
        fields = dict(self.entries(path, raw))
        nested = fields.pop('upstreams', {})
        self.check_shares(path, fields)
        service = self.checked(Service, path, fields, {'name': name})
        if service is not None:
            self.services[name] = service
        for own_name, body in self.entries(f'{path}.upstreams', nested):
            self.read_upstream(name, own_name, body)

    def read_upstream(self, service: str, name: str, raw: Any) -> None:
        """Read one upstream."""
        key = f'{service}/{name}'
        path = upstream_path(key)
        fields = dict(self.entries(path, raw))
        given = {'name': name, 'service': service}
        upstream = self.checked(Upstream, path, fields, given)
        if upstream is not None:
            self.upstreams[key] = upstream

    def check_shares(self, path: str, fields: dict[str, Any]) -> None:
        """Take out the optional second share, which must complete the first.

        ``crocusproxy_share`` guards against a share that was written for the
        wrong side of the split.
        """
        older = fields.get('older_balancer')
        if not isinstance(older, Mapping) or 'crocusproxy_share' not in older:
            return
        kept = dict(older)
        own = kept.pop('crocusproxy_share')
        fields['older_balancer'] = kept
        shares = (kept.get('share'), own)
        if not all(isinstance(share, int | float) for share in shares):
            self.fault(
                f'{path}.older_balancer.crocusproxy_share',
                'a number next to a share',
                repr(own),
                'share_out_of_range',
            )
        elif not abs(sum(shares) - 1) <= _SHARE_TOLERANCE:
            self.fault(
                f'{path}.older_balancer',
                'share and crocusproxy_share that add up to 1',
                f'{shares[0]} and {shares[1]}',
                'shares_do_not_add_up',
            )

    def checked(
        self,
        model: type[_Object],
        path: str,
        fields: dict[str, Any],
        given: dict[str, str],
    ) -> _Object | None:
        """Check one object; ``given`` fields come from the keys above it."""
        for name in given.keys() & fields.keys():
            self.fault(
                f'{path}.{name}',
                'no such key; it is the key above',
                'an unknown key',
                'unknown_key',
            )
        try:
            return check_document(model, {**fields, **given}, path)
        except InvalidDocumentError as error:
            for fault in error.faults:
                self.fault(
                    f'{path}.{fault.path}',
                    fault.expected,
                    fault.found,
                    fault.code,
                )
        return None

    def entries(self, path: str, raw: Any) -> Iterator[tuple[str, Any]]:
        """Iterate over a mapping; report what is not one."""
        if not isinstance(raw, Mapping):
            found = 'nothing' if raw is None else type(raw).__name__
            self.fault(path, 'a mapping', found, 'not_a_mapping')
            return
        for key, body in raw.items():
            if isinstance(key, str):
                yield key, body
            else:
                self.fault(
                    path,
                    'keys that are text; quote them',
                    repr(key),
                    'key_not_text',
                )

    def fault(self, path: str, expected: str, found: str, code: str) -> None:
        """Add a fault."""
        self.faults.append(Fault(path, expected, found, code))
