"""Previews changes of services and publishes each change at most once."""

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
    form_differences,
    form_from_document,
    map_fault_paths,
    put_edits,
    service_digest,
)
from .forms import ServiceForm, check_form, form_from_service


class ServiceUnknownError(CrocusError):
    """The service is not in the current generation."""

    code = 'service_unknown'


class ConcurrentChangeError(CrocusError):
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
    """A checked change with the differences that it would make.

    The submission id is fixed here, so that publishing twice has no further
    effect. ``form`` is None for a deletion.
    """

    submission: str
    name: str
    base: int
    differences: tuple[Difference, ...]
    form: ServiceForm | None = None


@dataclass(frozen=True, slots=True)
class PreviewedChange:
    """The part of a preview that the browser posts back to publish it."""

    submission: str
    name: str
    base: int
    form: ServiceForm | None = None


class ChangePublisher:
    """Converts forms to changes and appends them to the stream."""

    def __init__(self, publisher: Publisher) -> None:
        self.publisher = publisher
        self.tasks_by_submission: dict[str, asyncio.Task[Verdict]] = {}

    async def current_document(self) -> Document:
        """Read the stream up to its end and return the newest document.

        Raises:
            PlatformUnavailableError: the log service did not respond.
            NoConfigurationError: the records of the stream cannot be applied.
        """
        return await self.publisher.current_document()

    async def preview(self, form: ServiceForm, operator: str) -> Preview:
        """Check a form against the newest generation and return its preview.

        Raises:
            InvalidDocumentError: with the faults at their fields.
            ConcurrentChangeError: the service changed since ``form.base``.
            PlatformUnavailableError: the log service did not respond.
            NoConfigurationError: the records of the stream cannot be applied.
        """
        checked_form = check_form(form)
        current = await self.current_document()
        _check_unchanged(form, current)
        change = self.publisher.new_change(
            put_edits(current, checked_form), current.generation, operator
        )
        if change.edits:
            _, faults = check_change(current, change)
            if faults:
                raise InvalidDocumentError(
                    'form', map_fault_paths(form, faults)
                )
        # Normalized, so that another spelling of a value is no difference.
        new_form = form_from_service(
            checked_form.service, checked_form.upstreams, 0
        )
        return Preview(
            submission=change.submission,
            name=form.name,
            base=current.generation,
            differences=form_differences(
                form_from_document(current, form.name), new_form
            ),
            form=replace(form, base=current.generation),
        )

    async def preview_deletion(self, name: str) -> Preview:
        """Return the preview of the deletion of a service.

        Raises:
            ServiceUnknownError: there is no such service.
            PlatformUnavailableError: the log service did not respond.
            NoConfigurationError: the records of the stream cannot be applied.
        """
        current = await self.current_document()
        form = form_from_document(current, name)
        if form is None:
            raise ServiceUnknownError(
                f'generation {current.generation} has no service {name}'
            )
        return Preview(
            submission=new_submission_id(),
            name=name,
            base=current.generation,
            differences=form_differences(form, None),
        )

    async def publish(self, change: PreviewedChange, operator: str) -> Verdict:
        """Publish a previewed change; repeated calls have no further effect.

        Raises:
            InvalidDocumentError: with the faults at their fields.
            PlatformUnavailableError: this call did not make the change.
            AppendRejectedError: the platform does not accept the change.
            NoConfigurationError: the records of the stream cannot be applied.
            NotKnownYetError: the change may or may not take effect.
        """
        task = self.tasks_by_submission.get(change.submission)
        if task is None:
            task = asyncio.create_task(self._publish(change, operator))
            self.tasks_by_submission[change.submission] = task
            task.add_done_callback(
                lambda _: self.tasks_by_submission.pop(change.submission, None)
            )
        # A disconnecting browser must not cancel the append.
        return await asyncio.shield(task)

    async def look_up(self, submission: str) -> Verdict | None:
        """Return the verdict on a submission; None if it is not known yet.

        Raises:
            PlatformUnavailableError: the log service did not respond.
            NoConfigurationError: the records of the stream cannot be applied.
        """
        # Applies the new records of the stream to the state of the reader.
        await self.current_document()
        state = self.publisher.reader.state
        return state.verdicts.get(submission)

    async def _publish(
        self, previewed_change: PreviewedChange, operator: str
    ) -> Verdict:
        verdict = await self.look_up(previewed_change.submission)
        current = self.publisher.reader.state.document
        # A change of an outdated generation is rejected without an append.
        if verdict is None and current.generation != previewed_change.base:
            verdict = Rejected(GENERATION_CONFLICT, current.generation)
        if verdict is None:
            edits = _edits(previewed_change, current)
            change = self.publisher.new_change(
                edits, previewed_change.base, operator
            )
            change = replace(change, submission=previewed_change.submission)
            verdict = (await self.publisher.submit(change)).verdict
        log(
            'console_submission',
            submission=previewed_change.submission,
            operator=operator,
            service=previewed_change.name,
            verdict=verdict.verdict,
        )
        return verdict


def _edits(change: PreviewedChange, current: Document) -> tuple[Edit, ...]:
    if change.form is None:
        return delete_edits(current, change.name)
    return put_edits(current, check_form(change.form))


def _check_unchanged(form: ServiceForm, current: Document) -> None:
    current_digest = service_digest(current, form.name)
    if form.base_digest == current_digest:
        return
    if form.base_digest:
        raise ConcurrentChangeError(current)
    fault = Fault('name', 'a name not in use', form.name, 'service_exists')
    raise InvalidDocumentError('form', (fault,))
