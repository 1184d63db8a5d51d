"""Reads what an instance logs while it runs."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .records import ConnectionEnd


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One log line; ``at`` is in seconds since the epoch."""

    at: float
    kind: str
    fields: Mapping[str, Any]


class InstanceLog:
    """The events in a growing log file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.events: list[LogEvent] = []
        self.position = 0

    def read(self) -> None:
        """Read the complete lines that were added since the last call."""
        with self.path.open('rb') as log:
            log.seek(self.position)
            added = log.read()
        complete = added[: added.rfind(b'\n') + 1]
        self.position += len(complete)
        for line in complete.splitlines():
            if line.startswith(b'{'):
                fields = json.loads(line)
                self.events.append(
                    LogEvent(
                        fields['timestamp'],
                        fields.get('message_type', ''),
                        fields,
                    )
                )

    def connection_ends(self, instance: int) -> Iterator[ConnectionEnd]:
        """Yield the connections that ended with requests open."""
        for event in self.events:
            if event.kind == 'connection_ended':
                yield ConnectionEnd(
                    instance,
                    event.fields['cause'],
                    event.fields['reason'],
                    tuple(
                        (request['request_id'], request['stage'])
                        for request in event.fields['requests']
                    ),
                )

    def leading_since(self) -> float:
        """Return when the instance became home, 0 if it is none."""
        for event in reversed(self.events):
            match event.kind:
                case 'home_taken_over':
                    return event.at
                case 'home_given_up' | 'draining' | 'started':
                    return 0
        return 0

    def config_version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        for event in reversed(self.events):
            if event.kind == 'route_config_in_force':
                return int(event.fields['version'])
        return 0
