"""Sample edits and changes for the tests of this package."""

from datetime import datetime, timezone

from crocusproxy.config.change import Change, Put
from crocusproxy.config.model import Service, Upstream

AT = datetime(2026, 1, 1, tzinfo=timezone.utc)


def put_service(name, **fields):
    return Put('service', name, Service(name, **fields))


def put_upstream(service, name, port=9000, domain='fd0', slots=2):
    upstream = Upstream(name, service, f'127.0.0.1:{port}', domain, slots)
    return Put('upstream', upstream.key, upstream)


def change(submission, base, *edits, **fields):
    return Change(submission, base, edits, 'ana', AT, **fields)
