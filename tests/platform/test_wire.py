"""Guards against misread documents of the platform."""

import json
from datetime import timedelta
from ipaddress import IPv4Address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.accounts.keys import key_digest
from crocusproxy.platform.wire import decode_config, decode_upstream
from crocusproxy.protocol.codec import (
    MalformedMessageError,
    decode,
    encode,
)
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import ClientAccount, WeightedService

ENTRY = {
    'Address': '10.128.0.9:8080',
    'ServerInfo': {
        'Service': 'huvo11a',
        'Version': 'v1',
        'Zone': 'mza-centro',
        'Slots': 2,
    },
    'Status': {'State': 'ready', 'Sequence': 4, 'WarmupRemainingMs': 500},
    'born': 1700000000000,
}
CONFIG = {
    'Version': '0000001c',
    'Routes': [
        {
            'Name': 'r-1',
            'Host': 'a.example',
            'PathPrefix': '/x/',
            'Kind': 'unsafe',
            'TimeoutMs': 600,
            'TargetLatencyMs': 250,
            'Priority': 1,
            'Service': 's1',
            'Attempts': 2,
        },
        {
            'Name': 'r-2',
            'Host': 'a.example',
            'PathPrefix': '/y/',
            'Kind': 'safe',
            'TimeoutMs': 500,
            'TargetLatencyMs': 200,
            'Priority': 2,
            'TrafficSplit': [
                {'Service': 's1', 'Weight': 90},
                {'Service': 's2', 'Weight': 10},
            ],
            'Attempts': 2,
        },
    ],
    'Services': [
        {'Name': 's1', 'HealthCheckPath': '/health', 'MaxConnections': 220}
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 1000,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
}


def entry_with(path, value):
    entry = json.loads(json.dumps(ENTRY))
    *parents, last = path
    node = entry
    for parent in parents:
        node = node[parent]
    node[last] = value
    return json.dumps(entry).encode()


def test_entry_is_decoded():
    entry = decode_upstream('i-1', json.dumps(ENTRY).encode())
    assert (entry.key, entry.service, entry.slots) == ('i-1', 'huvo11a', 2)
    assert entry.started_at == 1700000000000
    assert entry.warm_up == timedelta(milliseconds=500)
    assert not entry.leaving


def test_draining_entry_is_leaving():
    document = entry_with(('Status', 'State'), 'draining')
    assert decode_upstream('i-1', document).leaving


@pytest.mark.parametrize(
    'document',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'{"Address": "10.0.0.1:80"}',
        entry_with(('Address',), 7),
        entry_with(('Address',), 'nowhere'),
        entry_with(('Status', 'State'), 'resting'),
        entry_with(('Status', 'Sequence'), '4'),
        entry_with(('Status', 'Sequence'), True),
        entry_with(('ServerInfo', 'Slots'), 0),
        entry_with(('ServerInfo', 'Slots'), '2'),
        entry_with(('ServerInfo', 'Service'), None),
        entry_with(('born',), '1700000000000'),
        entry_with(('born',), 1.5),
        entry_with(('born',), 10**400),
        entry_with(('ServerInfo', 'Slots'), 10**30),
        entry_with(('ServerInfo', 'Version'), 1),
        entry_with(('ServerInfo', 'Zone'), ''),
        entry_with(('ServerInfo', 'Service'), 'x' * 300),
        entry_with(('Status', 'Sequence'), 1 << 63),
        entry_with(('Status', 'WarmupRemainingMs'), float('nan')),
        entry_with(('Status', 'WarmupRemainingMs'), float('inf')),
        entry_with(('Status', 'WarmupRemainingMs'), 'Infinity'),
        entry_with(('Status', 'WarmupRemainingMs'), True),
        entry_with(('Status', 'WarmupRemainingMs'), 1e300),
        entry_with(('Status', 'WarmupRemainingMs'), 10**400),
        entry_with(('Status',), {'State': 'ready', 'Sequence': 4}),
        *(
            entry_with(('Address',), address)
            for address in (
                '10.0.0.1:0',
                '10.0.0.1:65536',
                '10.0.0.1:99999999999999999999',
                '10.0.0.1:-1',
                '10.0.0.1:\u0664',
                '10.0.0.1:80\n',
                '10.0.0.256:80',
                '0.0.0.0:80',
                '224.0.0.1:80',
                '...:80',
                '1:80',
                ':80',
            )
        ),
    ],
)
def test_malformed_entry_is_rejected(document):
    with pytest.raises(MalformedMessageError):
        decode_upstream('i-1', document)


@pytest.mark.parametrize('key', ['', 'a b', 'a\r\nX-Other: b', '\ufffd'])
def test_key_that_is_no_header_value_is_rejected(key):
    """Requests to the upstream name its key in a header."""
    with pytest.raises(MalformedMessageError):
        decode_upstream(key, json.dumps(ENTRY).encode())


def nested(depth):
    return b'[' * depth + b']' * depth


@pytest.mark.parametrize('depth', [10, 199, 201, 10_000, 1_000_000])
@pytest.mark.parametrize(
    'old', [b'{"Address"', b'"v1"', b'500', b'"ready"', b'1700000000000']
)
def test_nested_entry_is_rejected(old, depth):
    """An entry that is too deep for the parser ended the reader."""
    document = json.dumps(ENTRY).encode().replace(old, nested(depth))
    with pytest.raises(MalformedMessageError):
        decode_upstream('i-1', document)


odd_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from((0, -1, 1 << 31, 1 << 53, 1 << 63, 10**18, 10**400))
    | st.floats()
    | st.text()
    | st.sampled_from(('ready', '10.0.0.1:80', '10.0.0.1:70000')),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=5,
)
paths = st.sampled_from(
    (
        ('Address',),
        ('ServerInfo',),
        ('Status',),
        ('born',),
        ('New',),
        *(('ServerInfo', name) for name in ENTRY['ServerInfo']),
        *(('Status', name) for name in ENTRY['Status']),
    )
)


@given(
    st.text(max_size=4) | st.just('i-1'),
    st.builds(entry_with, paths, odd_values) | st.binary(),
)
def test_entry_of_another_writer_is_usable_everywhere_or_rejected(
    key, document
):
    """Whatever it holds, it must not end those that read it."""
    try:
        upstream = decode_upstream(key, document)
    except MalformedMessageError:
        return
    change = UpstreamChange(key, upstream)
    assert decode(UpstreamChange, encode(change)) == change
    host, _, port = upstream.address.rpartition(':')
    assert IPv4Address(host).packed
    assert 0 < int(port) < 1 << 16
    assert 0 < upstream.slots <= 1_000_000
    assert timedelta() <= upstream.warm_up <= timedelta(days=1)
    assert key.encode('ascii').isascii() and key.isprintable()


def test_unknown_fields_are_ignored():
    assert decode_upstream('i-1', entry_with(('New',), 1)).key == 'i-1'


def test_configuration_is_decoded():
    config = decode_config(json.dumps(CONFIG).encode())
    unsafe_route, safe_route = config.routes
    assert config.version == 0x1C
    assert not unsafe_route.idempotent
    assert unsafe_route.parts == (WeightedService('s1', 1),)
    assert unsafe_route.timeout == timedelta(milliseconds=600)
    assert safe_route.idempotent
    assert safe_route.parts == (
        WeightedService('s1', 90),
        WeightedService('s2', 10),
    )
    assert config.limits.idle_timeout == timedelta(seconds=15)


def test_unknown_kind_is_not_idempotent():
    document = json.dumps(CONFIG).replace('"safe"', '"other"')
    routes = decode_config(document.encode()).routes
    assert not any(route.idempotent for route in routes)


def config_with(**fields):
    return decode_config(json.dumps({**CONFIG, **fields}).encode())


def test_configuration_without_accounts_authenticates_nobody():
    assert config_with().accounts is None


def test_accounts_hold_digests_in_place_of_keys():
    tenant = {
        'Name': 'radio',
        'ApiKeys': ['secret-1', 'secret-2'],
        'Priority': 2,
        'RatePerS': 132,
        'Burst': 40,
    }
    (account,) = config_with(Tenants=[tenant]).accounts
    digests = (key_digest('secret-1'), key_digest('secret-2'))
    assert account == ClientAccount('radio', digests, 2, 132, 40)


def test_account_without_quota_is_not_limited():
    (account,) = config_with(Tenants=[{'Name': 'radio'}]).accounts
    assert account == ClientAccount('radio', ())


@pytest.mark.parametrize(
    'fields',
    [
        {'Name': ''},
        {'Name': 'a\r\nX-Other: b'},
        {'RatePerS': -1},
        {'Burst': float('inf')},
        {'ApiKeys': 'secret'},
    ],
)
def test_malformed_account_is_rejected(fields):
    with pytest.raises(MalformedMessageError):
        config_with(Tenants=[{'Name': 'radio', **fields}])


def test_downloads_are_idempotent():
    document = json.dumps(CONFIG).replace('"safe"', '"download"')
    routes = decode_config(document.encode()).routes
    assert [route.idempotent for route in routes] == [False, True]
