"""The operator of the soak: publishes configurations with changing routes."""

import json
from collections.abc import Callable
from random import Random

from standins.store import StandInStore

from .plan import Features
from .records import Evacuation, KeyPeriod, Quota, QuotaChange, RunRecord

HOST = 'a.example'
TOPIC = 'keyed.op'
TIMEOUT_MS = 800
MAIN_KEY = 'key-of-main'
LIMITED_KEY = 'key-of-limited'
QUOTA = Quota(rate=4, burst=10)
#: Each version has a new key; a key is valid in this many versions.
KEY_VERSIONS = 2
WARM_UP_SECONDS = 3.0
WARM_UP_RATE = 4.0
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 1000,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


class Operator:
    """Publishes configuration versions.

    Each version has a path of its own, and ``/move/`` changes its service. With
    client accounts, each version also adds a key and removes an older one.
    """

    def __init__(
        self,
        store: StandInStore,
        run: RunRecord,
        features: Features,
        now: Callable[[], float],
    ) -> None:
        self.store = store
        self.run_record = run
        self.features = features
        self.now = now
        self.version = 0
        self.quota = QUOTA
        self.limits = dict(LIMITS)
        if features.accounts:
            run.keys[MAIN_KEY] = KeyPeriod('main')
            run.keys[LIMITED_KEY] = KeyPeriod('limited')
            run.quotas['limited'] = self.quota
            run.anonymous_paths.add('/safe/')

    def publish(self) -> None:
        """Write the next version to the store."""
        self.version += 1
        routes = (
            self._route('/safe/', 's1', 'safe'),
            self._route('/unsafe/', 's2', 'unsafe'),
            self._route('/move/', self.alternating_service, 'safe'),
            self._route(f'/only{self.version}/', 's1', 'safe'),
        )
        document: dict[str, object] = {
            'Version': f'{self.version:08x}',
            'Routes': routes,
            'Services': [
                {
                    'Name': name,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 220,
                    **self._warm_up(),
                }
                for name in ('s1', 's2')
            ],
            'Limits': self.limits,
        }
        if self.features.accounts:
            document['Tenants'] = self._accounts()
        self.store.put(TOPIC, 'config', json.dumps(document).encode())

    def random_key(self, random: Random) -> str:
        """Return a key that is valid, is or was rotated, or is unknown."""
        if not self.features.accounts:
            return ''
        rotated_key = _rotated_key(self.version - random.randrange(4))
        return random.choice(
            (*[MAIN_KEY] * 4, *[LIMITED_KEY] * 3, *[rotated_key] * 2)
            + ('key-of-nobody', '')
        )

    def change_quota(self, quota: Quota) -> None:
        """Publish a version with another quota of the limited account."""
        self.quota = quota
        change = QuotaChange('limited', self.now(), quota)
        self.run_record.quota_changes.append(change)
        self.publish()

    def set_idle_timeout(self, seconds: float) -> None:
        """Publish a version with another idle timeout of callers."""
        self.limits['IdleTimeoutMs'] = round(seconds * 1000)
        self.publish()

    def evacuate(self, domain: str) -> Evacuation:
        self.store.put(TOPIC, f'evacuate/{domain}', b'1')
        evacuation = Evacuation(domain, self.now())
        self.run_record.evacuations.append(evacuation)
        return evacuation

    def end_evacuation(self, evacuation: Evacuation) -> None:
        evacuation.end = self.now()
        self.store.put(TOPIC, f'evacuate/{evacuation.failure_domain}', b'')

    def write_again(self) -> None:
        """Write the evacuations and a new version after a restore."""
        for evacuation in self.run_record.evacuations:
            is_current = evacuation.end > self.now()
            self.store.put(
                TOPIC,
                f'evacuate/{evacuation.failure_domain}',
                b'1' if is_current else b'',
            )
        self.publish()

    def _accounts(self) -> list[dict[str, object]]:
        keys = self.run_record.keys
        oldest_version = self.version - KEY_VERSIONS + 1
        removed = keys.get(_rotated_key(oldest_version - 1))
        if removed is not None:
            removed.removed_at = self.now()
        rotated_keys = [
            _rotated_key(version)
            for version in range(oldest_version, self.version + 1)
        ]
        for key in rotated_keys:
            keys.setdefault(key, KeyPeriod('rotated', self.now()))
        return [
            {'Name': 'main', 'ApiKeys': [MAIN_KEY]},
            {
                'Name': 'limited',
                'ApiKeys': [LIMITED_KEY],
                'RatePerS': self.quota.rate,
                'Burst': self.quota.burst,
            },
            {'Name': 'rotated', 'ApiKeys': rotated_keys},
        ]

    def _warm_up(self) -> dict[str, object]:
        if not self.features.cold:
            return {}
        return {'WarmupS': WARM_UP_SECONDS, 'WarmupPerS': WARM_UP_RATE}

    @property
    def alternating_service(self) -> str:
        """Return the service of ``/move/`` in the newest version."""
        return 's2' if self.version % 2 else 's1'

    def _route(self, path: str, service: str, kind: str) -> dict[str, object]:
        self.run_record.allowed_services.setdefault(path, set()).add(service)
        return {
            'Name': f'r{path.strip("/")}',
            'Host': HOST,
            'PathPrefix': path,
            'Kind': kind,
            'TimeoutMs': TIMEOUT_MS,
            'TargetLatencyMs': 200,
            'Priority': 1,
            'Service': service,
            'Attempts': 3,
            'AllowAnonymous': path in self.run_record.anonymous_paths,
        }


def _rotated_key(version: int) -> str:
    return f'key-of-version-{version}'
