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
# Covers the rounding of the sum of two decimal shares.
_SHARE_TOLERANCE = 1e-9


def read_operator_file(path: Path) -> Document:
    """Read and check a file; the document has generation 0.

    Raises:
        InvalidDocumentError: with all faults of the document.
    """
    return parse_operator_text(read_text(path), str(path))


def parse_operator_text(text: str, source: str) -> Document:
    """Parse and check a text; the document has generation 0.

    Raises:
        InvalidDocumentError: with all faults of the document.
    """
    raw = parse_yaml(text, source)
    parser = _Parser()
    parser.read_document(raw)
    document = Document(0, parser.services, parser.upstreams)
    # The objects that could be parsed are validated too, so that an operator
    # sees all faults at once.
    known_paths = {fault.path for fault in parser.faults}
    faults = (
        *parser.faults,
        *(
            fault
            for fault in check_content(document)
            if fault.path not in known_paths
            and not _is_consequence(parser, fault)
        ),
    )
    if faults:
        raise InvalidDocumentError(source, faults)
    return document


def format_operator_text(document: Document) -> str:
    """Format a document as text that ``parse_operator_text`` accepts."""
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


def _is_consequence(parser: '_Parser', fault: Fault) -> bool:
    """Return whether a service that was not parsed may cause the fault."""
    return bool(parser.faults) and fault.code == 'service_unknown'


class _Parser:
    """Collects the valid objects and all faults of a document."""

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.faults: list[Fault] = []

    def read_document(self, raw: Any) -> None:
        """Read the top level, whose only key is ``services``."""
        for key, body in self.entries('', raw):
            if key != 'services':
                self.add_fault(
                    key, 'no such key', 'an unknown key', 'unknown_key'
                )
                continue
            for name, service in self.entries('services', body):
                self.read_service(name, service)
        if isinstance(raw, Mapping) and 'services' not in raw:
            self.add_fault('services', 'a mapping', 'nothing', 'missing_key')

    def read_service(self, name: str, raw: Any) -> None:
        """Read a service with its upstreams."""
        path = service_path(name)
        fields = dict(self.entries(path, raw))
        raw_upstreams = fields.pop('upstreams', {})
        self.check_shares(path, fields)
        service = self.check_object(Service, path, fields, {'name': name})
        if service is not None:
            self.services[name] = service
        for upstream_name, body in self.entries(
            f'{path}.upstreams', raw_upstreams
        ):
            self.read_upstream(name, upstream_name, body)

    def read_upstream(self, service: str, name: str, raw: Any) -> None:
        """Read one upstream."""
        key = f'{service}/{name}'
        path = upstream_path(key)
        fields = dict(self.entries(path, raw))
        key_fields = {'name': name, 'service': service}
        upstream = self.check_object(Upstream, path, fields, key_fields)
        if upstream is not None:
            self.upstreams[key] = upstream

    def check_shares(self, path: str, fields: dict[str, Any]) -> None:
        """Remove ``crocusproxy_share``; it must add up to 1 with ``share``.

        This optional key guards against a ``share`` that was meant for
        crocusproxy instead of the older balancer.
        """
        older_balancer = fields.get('older_balancer')
        if (
            not isinstance(older_balancer, Mapping)
            or 'crocusproxy_share' not in older_balancer
        ):
            return
        model_fields = dict(older_balancer)
        crocusproxy_share = model_fields.pop('crocusproxy_share')
        fields['older_balancer'] = model_fields
        shares = (model_fields.get('share'), crocusproxy_share)
        if not all(isinstance(share, int | float) for share in shares):
            self.add_fault(
                f'{path}.older_balancer.crocusproxy_share',
                'a number, together with a numeric share',
                repr(crocusproxy_share),
                'share_out_of_range',
            )
        elif not abs(sum(shares) - 1) <= _SHARE_TOLERANCE:
            self.add_fault(
                f'{path}.older_balancer',
                'share and crocusproxy_share that add up to 1',
                f'{shares[0]} and {shares[1]}',
                'shares_do_not_add_up',
            )

    def check_object(
        self,
        model: type[_Object],
        path: str,
        fields: dict[str, Any],
        key_fields: dict[str, str],
    ) -> _Object | None:
        """Check one object; ``key_fields`` come from the keys above it.

        Return None after adding the faults of an invalid object.
        """
        for name in key_fields.keys() & fields.keys():
            self.add_fault(
                f'{path}.{name}',
                'no such key; the enclosing key gives this value',
                'an unknown key',
                'unknown_key',
            )
        try:
            return check_document(model, {**fields, **key_fields}, path)
        except InvalidDocumentError as error:
            for fault in error.faults:
                self.add_fault(
                    f'{path}.{fault.path}',
                    fault.expected,
                    fault.found,
                    fault.code,
                )
        return None

    def entries(self, path: str, raw: Any) -> Iterator[tuple[str, Any]]:
        """Iterate over a mapping; add a fault for another type or key type."""
        if not isinstance(raw, Mapping):
            found = 'nothing' if raw is None else type(raw).__name__
            self.add_fault(path, 'a mapping', found, 'not_a_mapping')
            return
        for key, body in raw.items():
            if isinstance(key, str):
                yield key, body
            else:
                self.add_fault(
                    path,
                    'keys that are text; quote them',
                    repr(key),
                    'key_not_text',
                )

    def add_fault(
        self, path: str, expected: str, found: str, code: str
    ) -> None:
        """Add a fault to the list."""
        self.faults.append(Fault(path, expected, found, code))
