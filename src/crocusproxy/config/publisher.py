"""Publishing of changes: append to the stream and wait for the verdict."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..errors import (
    AppendUnknownError,
    CrocusError,
    PlatformUnavailableError,
)
from ..logs import log
from ..platform_client import PlatformClient
from ..protocol import codec
from .change import Change, Edit, edits_between
from .model import Document
from .reader import CONFIG_STREAM, ConfigStreamReader
from .validation import check_change
from .verdict import CONFIG_INVALID, GENERATION_CONFLICT, Rejected, Verdict

_POLL_WAIT = timedelta(seconds=1)
_RETRY_DELAY = timedelta(milliseconds=200)


class NotKnownYetError(CrocusError):
    """No verdict was read in time; the submission may still take effect."""

    code = 'not_known_yet'

    def __init__(self, submission: str) -> None:
        super().__init__(
            f'the stream holds no verdict of submission {submission} yet',
            hint='look it up with: crocusctl history --submission ID',
        )
        self.submission = submission


class NoConfigurationError(CrocusError):
    """The stream yields no document, so there is no base for a change."""

    code = 'no_configuration'


@dataclass(frozen=True, slots=True)
class Submission:
    """A submission id and its verdict."""

    id: str
    verdict: Verdict


def new_submission_id() -> str:
    """Return a new unique id."""
    # The letter keeps command-line parsers from reading an id as a number.
    return f's{uuid.uuid4().hex}'


class Publisher:
    """Publishes changes and reads their verdicts from the stream.

    ``verdict_timeout`` bounds the wait for a verdict after the append. The
    ``on_append`` listeners are called with a change just before its append.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        verdict_timeout: timedelta = timedelta(seconds=10),
    ) -> None:
        self.client = client
        self.clock = clock
        self.verdict_timeout = verdict_timeout
        self.reader = ConfigStreamReader(client)
        self.on_append: list[Callable[[Change], None]] = []

    async def current_document(self) -> Document:
        """Return the newest generation in the stream.

        Raises:
            PlatformUnavailableError: the log service did not respond.
            NoConfigurationError: the stream yields no document.
        """
        await self.reader.catch_up()
        state = self.reader.state
        if state.unknown_rules:
            raise NoConfigurationError(
                f'the stream uses validation rules {state.unknown_rules}',
                hint='update this program',
                code='config_rules_unknown',
            )
        if not state.has_baseline:
            raise NoConfigurationError(
                'the oldest records have expired, and no snapshot is complete',
                hint='wait until an instance has written a snapshot',
            )
        return state.document

    async def replace(
        self,
        document: Document,
        operator: str,
        base: int | None = None,
    ) -> Submission | None:
        """Replace the whole content; return None if nothing differs.

        If ``base`` is given, only that generation is replaced.

        Raises:
            PlatformUnavailableError: the change was certainly not made.
            AppendRejectedError: the platform does not accept the change.
            NoConfigurationError: the stream yields no document.
            NotKnownYetError: the change may or may not take effect.
        """
        current = await self.current_document()
        edits = edits_between(current, document)
        if not edits:
            return None
        base_generation = current.generation if base is None else base
        return await self.submit(
            self.new_change(edits, base_generation, operator)
        )

    def new_change(
        self,
        edits: tuple[Edit, ...],
        base: int,
        operator: str,
    ) -> Change:
        """Create a change with a new submission id."""
        return Change(
            submission=new_submission_id(),
            base=base,
            edits=edits,
            operator=operator,
            at=self.clock.now(),
        )

    async def submit(self, change: Change) -> Submission:
        """Append a change once and wait for its verdict.

        A change that is certain to be rejected is not appended, nor is a
        change whose verdict is already known from the stream.

        Raises:
            PlatformUnavailableError: the change was certainly not made.
            AppendRejectedError: the platform does not accept the change.
            NoConfigurationError: the stream yields no document.
            NotKnownYetError: the change may or may not take effect.
        """
        current = await self.current_document()
        known = self.reader.state.verdicts.get(change.submission)
        verdict = known or _early_rejection(current, change)
        if verdict is not None:
            return Submission(change.submission, verdict)
        for listener in self.on_append:
            listener(change)
        try:
            await self.client.append(CONFIG_STREAM, codec.to_plain(change))
        except AppendUnknownError as error:
            log(
                'config_append_unknown',
                submission=change.submission,
                error=str(error),
            )
        return Submission(
            change.submission, await self.wait_for_verdict(change.submission)
        )

    async def wait_for_verdict(self, submission: str) -> Verdict:
        """Read the stream until it yields the verdict of a submission.

        Raises:
            NotKnownYetError: no verdict was read within
                ``verdict_timeout``, or a record has unknown rules.
        """
        end = self.clock.monotonic() + self.verdict_timeout
        while True:
            verdict = self.reader.state.verdicts.get(submission)
            if verdict is not None:
                return verdict
            remaining = end - self.clock.monotonic()
            if remaining <= timedelta() or self.reader.state.unknown_rules:
                raise NotKnownYetError(submission)
            await self._poll_or_pause(min(remaining, _POLL_WAIT))

    async def _poll_or_pause(self, wait: timedelta) -> None:
        try:
            await self.reader.poll(wait)
        except PlatformUnavailableError:
            await self.clock.sleep(_RETRY_DELAY)


def _early_rejection(current: Document, change: Change) -> Rejected | None:
    generation = current.generation
    if change.base != generation:
        return Rejected(GENERATION_CONFLICT, generation)
    _, faults = check_change(current, change)
    return Rejected(CONFIG_INVALID, generation, faults) if faults else None
