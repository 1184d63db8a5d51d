"""The operator of the soak: publishes configurations with changing routes."""

import json

from standins.store import StandInStore

from .records import RunRecord

HOST = 'a.example'
TOPIC = 'keyed.op'
TIMEOUT_MS = 800
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 1000,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


class Operator:
    """Publishes configuration versions.

    Each version has a path of its own, and ``/move/`` changes its service.
    """

    def __init__(self, store: StandInStore, run: RunRecord) -> None:
        self.store = store
        self.run_record = run
        self.version = 0

    def publish(self) -> None:
        """Write the next version to the store."""
        self.version += 1
        routes = (
            self._route('/safe/', 's1', 'safe'),
            self._route('/unsafe/', 's2', 'unsafe'),
            self._route('/move/', self.alternating_service, 'safe'),
            self._route(f'/only{self.version}/', 's1', 'safe'),
        )
        document = {
            'Version': f'{self.version:08x}',
            'Routes': routes,
            'Services': [
                {
                    'Name': name,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 220,
                }
                for name in ('s1', 's2')
            ],
            'Limits': LIMITS,
        }
        self.store.put(TOPIC, 'config', json.dumps(document).encode())

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
        }
