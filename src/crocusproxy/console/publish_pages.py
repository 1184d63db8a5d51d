"""Pages that publish a previewed change and show its outcome."""

import re
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from ..config.publisher import NoConfigurationError
from ..config.verdict import (
    GENERATION_CONFLICT,
    Accepted,
    Rejected,
    Verdict,
)
from ..errors import (
    AppendRejectedError,
    CrocusError,
    PlatformUnavailableError,
)
from ..logs import log
from .change_publisher import ConcurrentChangeError, PreviewedChange
from .changes import map_fault_paths, service_digest
from .console import (
    SESSION_KEY,
    Console,
    hidden_field_error,
    read_post,
    verify_signature,
)
from .forms import read_form
from .service_pages import ServicePages

_SUBMISSION_ID = re.compile('s[0-9a-f]{32}')
_UNAVAILABLE = 503
_CONFLICT_NOTICE = (
    'Another change took effect first, so this one was not applied. '
    'This preview is based on the new generation.'
)


class PublishPages:
    """Publishes changes, and looks up earlier submissions."""

    def __init__(self, console: Console, service_pages: ServicePages) -> None:
        self.console = console
        self.service_pages = service_pages

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these pages."""
        return [
            web.post('/publish', self.publish),
            web.post('/delete', self.delete),
            web.get('/submissions/{id:s[0-9a-f]{32}}', self.look_up),
        ]

    async def publish(self, request: web.Request) -> web.StreamResponse:
        """Publish a form that was previewed."""
        posted = await read_post(request)
        form = read_form(posted)
        change = PreviewedChange(
            _submission_id(posted), form.name, form.base, form
        )
        return await self._publish(request, change, posted)

    async def delete(self, request: web.Request) -> web.StreamResponse:
        """Delete a service after confirmation."""
        posted = await read_post(request)
        form = read_form(posted)
        change = PreviewedChange(_submission_id(posted), form.name, form.base)
        return await self._publish(request, change, posted)

    async def look_up(self, request: web.Request) -> web.StreamResponse:
        """Show the verdict on a submission."""
        submission = request.match_info['id']
        try:
            verdict = await self.console.change_publisher.look_up(submission)
        except CrocusError as error:
            return self._result_page(
                request, submission, 'unreachable', error=str(error)
            )
        return self._verdict_page(request, submission, verdict)

    async def _publish(
        self,
        request: web.Request,
        change: PreviewedChange,
        posted: Mapping[str, str],
    ) -> web.StreamResponse:
        session = request[SESSION_KEY]
        verify_signature(session, change, posted.get('seal', ''))
        try:
            verdict = await self.console.change_publisher.publish(
                change, session.operator
            )
        except (
            PlatformUnavailableError,
            AppendRejectedError,
            NoConfigurationError,
        ) as error:
            context = self.service_pages.change_context(request, change)
            return self._result_page(
                request,
                change.submission,
                'not_published',
                error=str(error),
                **context,
            )
        except CrocusError as error:
            # The append may have taken effect before the failure.
            log(
                'console_not_known_yet',
                submission=change.submission,
                error=str(error),
            )
            return self._verdict_page(request, change.submission, None)
        return await self._verdict_response(request, change, verdict)

    async def _verdict_response(
        self,
        request: web.Request,
        change: PreviewedChange,
        verdict: Verdict,
    ) -> web.StreamResponse:
        match verdict:
            case Rejected(code=code) if code == GENERATION_CONFLICT:
                return await self._conflict_response(request, change)
            case Rejected(faults=faults) if change.form is not None:
                form_faults = map_fault_paths(change.form, faults)
                return self.service_pages.form_page(
                    request, change.form, form_faults
                )
            case Rejected():
                return self._verdict_page(request, change.submission, verdict)
        # A redirect, so that a reload does not post the form again.
        raise web.HTTPSeeOther(f'/submissions/{change.submission}')

    async def _conflict_response(
        self,
        request: web.Request,
        change: PreviewedChange,
    ) -> web.StreamResponse:
        if change.form is None:
            return await self.service_pages.preview_deletion(
                request, change.name, _CONFLICT_NOTICE
            )
        document = (await self.console.latest_document()).document
        if service_digest(document, change.name) != change.form.base_digest:
            error = ConcurrentChangeError(document)
            return self.service_pages.conflict_page(request, change.form, error)
        return await self.service_pages.preview_form(
            request, change.form, _CONFLICT_NOTICE
        )

    def _verdict_page(
        self,
        request: web.Request,
        submission: str,
        verdict: Verdict | None,
    ) -> web.StreamResponse:
        match verdict:
            case Accepted(generation=generation):
                return self._result_page(
                    request, submission, 'accepted', generation=generation
                )
            case Rejected() as rejected:
                return self._result_page(
                    request, submission, 'rejected', rejected=rejected
                )
        return self._result_page(request, submission, 'not_known_yet')

    def _result_page(
        self,
        request: web.Request,
        submission: str,
        outcome: str,
        **context: Any,
    ) -> web.StreamResponse:
        return self.console.page(
            request,
            'result.html',
            status=_STATUS_BY_OUTCOME.get(outcome, web.HTTPOk.status_code),
            submission=submission,
            outcome=outcome,
            **context,
        )


_STATUS_BY_OUTCOME: Mapping[str, int] = {  # noqa: WPS407 - read-only
    'not_known_yet': web.HTTPAccepted.status_code,
    'not_published': _UNAVAILABLE,
    'unreachable': _UNAVAILABLE,
}


def _submission_id(posted: Mapping[str, str]) -> str:
    submission = posted.get('submission', '')
    if _SUBMISSION_ID.fullmatch(submission) is None:
        raise hidden_field_error('submission', 'a submission id', submission)
    return submission
