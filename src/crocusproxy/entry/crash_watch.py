"""Refusal of requests that crash the upstreams that run them."""

import hashlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta

from ..clock import Clock
from ..logs import log
from ..placement.upstream_reach import UpstreamReach
from ..protocol.home_feed import CrashReport
from ..routing.crash import CrashSuspects, latest_ages, reported_crash
from .upstream_call import OutgoingRequest, SentRequest

#: Crashes that are retracted if they turn out to be one loss of all upstreams.
RETRACTION_PERIOD = timedelta(seconds=1)
MAX_RETRACTED_REPORTS = 16


class CrashWatch:
    """Refuses requests that were in flight at two crashes.

    An upstream counts as crashed if its last connection drops while requests
    are in flight there and no new connection can be opened. Several that are
    lost at once, by the evidence in ``reach``, are one loss of this instance.
    An evacuated upstream may be shut down at any time; that is not a crash.
    ``send_report`` sends a report to the other domain homes.
    """

    def __init__(self, clock: Clock, reach: UpstreamReach) -> None:
        self.clock = clock
        self.reach = reach
        reach.on_silence.append(self.retract_latest)
        self.latest_reports: deque[tuple[timedelta, CrashReport]] = deque(
            maxlen=MAX_RETRACTED_REPORTS
        )
        self.tracker = CrashSuspects()
        self.send_report: Callable[[CrashReport], None] = _skip_report

    def record_crash(
        self, address: str, requests: Iterable[SentRequest]
    ) -> None:
        """Record that an upstream crashed with these requests in flight."""
        self.reach.failed_at(address)
        is_lost = self.reach.silent_since is not None
        if is_lost or self.reach.is_evacuated_address(address):
            log('crash_not_counted', upstream=address)
            return
        now = self.clock.monotonic()
        ages = latest_ages(
            ((fingerprint(sent.request), sent.sent_at) for sent in requests),
            now,
        )
        report = CrashReport(
            address, tuple(ages.keys()), ages=tuple(ages.values())
        )
        self.latest_reports.append((now, report))
        self.apply_report(report)
        self.send_report(report)

    def retract_latest(self) -> None:
        """Clear the requests of the latest crashes."""
        earliest = self.clock.monotonic() - RETRACTION_PERIOD
        for reported_at, report in self.latest_reports:
            if reported_at >= earliest:
                retraction = replace(report, cleared=True)
                self.apply_report(retraction)
                self.send_report(retraction)
        self.latest_reports.clear()

    def apply_report(self, report: CrashReport) -> None:
        """Apply a report of this or another domain home."""
        if report.cleared:
            for one in report.fingerprints:
                self.tracker.answered(one)
            return
        now = self.clock.monotonic()
        crash = reported_crash(
            report.upstream, report.fingerprints, report.ages, now
        )
        confirmed = self.tracker.crashed(crash)
        log(
            'upstream_crashed',
            upstream=report.upstream,
            suspects=len(report.fingerprints),
            confirmed=len(confirmed),
        )

    def refused_for(self, request: OutgoingRequest) -> timedelta:
        """Return how long to refuse a request from now, zero to accept it."""
        now = self.clock.monotonic()
        self.tracker.expire(now)
        if not self.tracker.confirmed_until:
            return timedelta()
        return self.tracker.refused_for(fingerprint(request), now)

    def is_suspect(self, request: OutgoingRequest) -> bool:
        """Return whether equal requests were in flight at a crash."""
        return self._suspected_fingerprint(request) is not None

    def record_response(self, request: OutgoingRequest) -> None:
        """Clear a request that an upstream has answered."""
        answered = self._suspected_fingerprint(request)
        if answered is not None:
            self.tracker.answered(answered)
            self.send_report(CrashReport('', (answered,), cleared=True))

    def _suspected_fingerprint(self, request: OutgoingRequest) -> str | None:
        """Return the fingerprint if it is suspected or confirmed now.

        It hashes the body, so it is computed only when it is needed.
        """
        tracker = self.tracker
        tracker.expire(self.clock.monotonic())
        if not tracker.suspects and not tracker.confirmed_until:
            return None
        digest = fingerprint(request)
        is_suspected = (
            digest in tracker.suspects or digest in tracker.confirmed_until
        )
        return digest if is_suspected else None


def fingerprint(request: OutgoingRequest) -> str:
    """Return a digest that is equal for each repetition of a request."""
    message = request.message
    digest = hashlib.sha256()
    for part in (message.method, message.headers.get('Host', ''), message.path):
        digest.update(part.encode(errors='surrogateescape'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def _skip_report(report: CrashReport) -> None:
    """Keep the report, as without domain homes."""
