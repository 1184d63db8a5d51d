"""Previews changes and publishes each of them at most once."""

import asyncio
from dataclasses import dataclass, replace

from ..config.change import Edit
from ..config.model import Document
from ..config.publisher import Publisher, new_submission_id
from ..config.validation import check_change
from ..config.verdict import GENERATION_CONFLICT, Rejected, Verdict
from ..errors import CrocusError, Fault, InvalidDocumentError
from ..logs import log
from .changes import (
    Difference,
    delete_edits,
    differences,
    digest_of,
    field_faults,
    form_in,
    put_edits,
)
from .forms import ServiceForm, check_form, form_of


class ServiceUnknownError(CrocusError):
    """The service is not in the current generation."""

    code = 'service_unknown'


class ChangedMeanwhileError(CrocusError):
    """Another operator changed the service since the form was opened."""

    code = 'service_changed'

    def __init__(self, document: Document) -> None:
        super().__init__(
            f'the service was changed by generation {document.generation}',
            hint='compare, correct and preview again',
        )
        self.document = document


@dataclass(frozen=True, slots=True)
class Preview:
    """A change that can be published, under an id that stays the same.

    ``form`` is None for a deletion.
    """

    submission: str
    name: str
    base: int
    lines: tuple[Difference, ...]
    form: ServiceForm | None = None


@dataclass(frozen=True, slots=True)
class PreviewedChange:
    """A previewed change that an operator publishes."""

    submission: str
    name: str
    base: int
    form: ServiceForm | None = None


class ChangeDesk:
    """Turns forms into changes of the stream."""

    def __init__(self, publisher: Publisher) -> None:
        self.publisher = publisher
        self.running: dict[str, asyncio.Task[Verdict]] = {}

    async def current(self) -> Document:
        """Return the newest generation in the stream.

        Raises:
            PlatformUnavailableError: the log service did not answer.
            NoConfigurationError: the stream cannot be folded.
        """
        return await self.publisher.current_document()

    async def preview(self, form: ServiceForm, operator: str) -> Preview:
        """Check a form as a whole against the newest generation.

        Raises:
            InvalidDocumentError: with the faults at their fields.
            ChangedMeanwhileError: the service is not as the form found it.
            PlatformUnavailableError: the log service did not answer.
            NoConfigurationError: the stream cannot be folded.
        """
        checked = check_form(form)
        current = await self.current()
        _check_unchanged(form, current)
        change = self.publisher.new_change(
            put_edits(current, checked), current.generation, operator
        )
        if change.edits:
            _, faults = check_change(current, change)
            if faults:
                raise InvalidDocumentError('form', field_faults(form, faults))
        wanted = form_of(checked.service, checked.upstreams, 0)
        return Preview(
            submission=change.submission,
            name=form.name,
            base=current.generation,
            lines=differences(form_in(current, form.name), wanted),
            form=replace(form, base=current.generation),
        )

    async def preview_deletion(self, name: str) -> Preview:
        """Show what the deletion of a service removes.

        Raises:
            ServiceUnknownError: there is no such service.
            PlatformUnavailableError: the log service did not answer.
            NoConfigurationError: the stream cannot be folded.
        """
        current = await self.current()
        found = form_in(current, name)
        if found is None:
            raise ServiceUnknownError(
                f'generation {current.generation} has no service {name}'
            )
        return Preview(
            submission=new_submission_id(),
            name=name,
            base=current.generation,
            lines=differences(found, None),
        )

    async def publish(self, change: PreviewedChange, operator: str) -> Verdict:
        """Publish a previewed change; a repeated call has no other effect.

        Raises:
            InvalidDocumentError: with the faults at their fields.
            PlatformUnavailableError: this call did not make the change.
            NoConfigurationError: the stream cannot be folded.
            NotKnownYetError: the change may or may not take effect.
        """
        task = self.running.get(change.submission)
        if task is None:
            task = asyncio.create_task(self._publish(change, operator))
            self.running[change.submission] = task
            task.add_done_callback(
                lambda _: self.running.pop(change.submission, None)
            )
        # A caller that disconnects must not interrupt the append.
        return await asyncio.shield(task)

    async def look_up(self, submission: str) -> Verdict | None:
        """Return the verdict on a submission; None if it is not known yet.

        Raises:
            PlatformUnavailableError: the log service did not answer.
            NoConfigurationError: the stream cannot be folded.
        """
        await self.current()
        state = self.publisher.reader.state
        return state.verdicts.get(submission)

    async def _publish(
        self, previewed: PreviewedChange, operator: str
    ) -> Verdict:
        verdict = await self.look_up(previewed.submission)
        current = self.publisher.reader.state.document
        if verdict is None and current.generation != previewed.base:
            verdict = Rejected(GENERATION_CONFLICT, current.generation)
        if verdict is None:
            edits = _edits(previewed, current)
            change = self.publisher.new_change(edits, previewed.base, operator)
            change = replace(change, submission=previewed.submission)
            verdict = (await self.publisher.submit(change)).verdict
        log(
            'console_submission',
            submission=previewed.submission,
            operator=operator,
            service=previewed.name,
            verdict=verdict.verdict,
        )
        return verdict


def _edits(change: PreviewedChange, current: Document) -> tuple[Edit, ...]:
    if change.form is None:
        return delete_edits(current, change.name)
    return put_edits(current, check_form(change.form))


def _check_unchanged(form: ServiceForm, current: Document) -> None:
    found = digest_of(current, form.name)
    if form.seen == found:
        return
    if form.seen:
        raise ChangedMeanwhileError(current)
    fault = Fault('name', 'a name not in use', form.name, 'service_exists')
    raise InvalidDocumentError('form', (fault,))
