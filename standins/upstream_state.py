"""Faults and counters of the upstream stand-in."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field


@dataclass
class Faults:
    """Faults to inject, set with ``POST /admin/faults``.

    ``slow`` multiplies service times. ``drain`` is empty, ``announce`` (work is
    still accepted) or ``refuse``. ``cut_body`` is the number of responses to
    truncate. ``reported_in_flight`` replaces the true number in load reports;
    with ``silent`` only responses to probes contain a load report. A request
    whose path contains ``crash_on`` crashes the process.
    """

    slow: float = 1.0
    fail_fast: bool = False
    drain: str = ''
    shed: bool = False
    cut_body: int = 0
    reported_in_flight: int | None = None
    crash_on: str = ''
    silent: bool = False


@dataclass
class Counters:
    """Counters of an upstream, returned by ``GET /admin/counters``.

    ``runs`` counts requests that took a slot or failed fast, so it includes
    every request with an effect. ``sent`` holds the marks of the complete
    responses by request id. ``last_arrival_after_drain_ms`` is measured from
    the start of draining. ``last_arrival`` is the time of the newest request
    and ``probe_times`` are the times of all probes, on the monotonic clock,
    which all processes of a host share.
    """

    runs: int = 0
    answered: int = 0
    refused: int = 0
    failed_fast: int = 0
    cancelled: int = 0
    cut: int = 0
    probes: int = 0
    probe_bytes: int = 0
    most_running: int = 0
    arrivals_after_drain: int = 0
    last_arrival_after_drain_ms: float = 0
    last_arrival: float = 0
    probe_times: list[float] = field(default_factory=list)
    runs_by_key: Counter = field(default_factory=Counter)
    runs_by_request: Counter = field(default_factory=Counter)
    sent: dict = field(default_factory=lambda: defaultdict(list))
