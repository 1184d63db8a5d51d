"""Pages that publish a previewed change and tell what became of it."""

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
from ..errors import CrocusError, PlatformUnavailableError
from ..logs import log
from .changes import digest_of, field_faults
from .console import SESSION, Console, check_seal, read_post, wrong_form
from .desk import ChangedMeanwhileError, PreviewedChange
from .forms import read_form
from .service_pages import ServicePages

_SUBMISSION = re.compile('s[0-9a-f]{32}')
_UNAVAILABLE = 503
_OTHER_CHANGE = (
    'Another change took effect first, so nothing was changed. '
    'This preview is against the new generation.'
)


class PublishPages:
    """Publishes changes, and looks up earlier submissions."""

    def __init__(self, console: Console, services: ServicePages) -> None:
        self.console = console
        self.services = services

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
            _submission(posted), form.name, form.base, form
        )
        return await self._publish(request, change, posted)

    async def delete(self, request: web.Request) -> web.StreamResponse:
        """Delete a service after its confirmation."""
        posted = await read_post(request)
        form = read_form(posted)
        change = PreviewedChange(_submission(posted), form.name, form.base)
        return await self._publish(request, change, posted)

    async def look_up(self, request: web.Request) -> web.StreamResponse:
        """Tell what became of a submission."""
        submission = request.match_info['id']
        try:
            verdict = await self.console.desk.look_up(submission)
        except CrocusError as error:
            return self._result(
                request, submission, 'unreachable', error=str(error)
            )
        return self._verdict_page(request, submission, verdict)

    async def _publish(
        self,
        request: web.Request,
        change: PreviewedChange,
        posted: Mapping[str, str],
    ) -> web.StreamResponse:
        session = request[SESSION]
        check_seal(session, change, posted.get('seal', ''))
        try:
            verdict = await self.console.desk.publish(change, session.operator)
        except (PlatformUnavailableError, NoConfigurationError) as error:
            context = self.services.change_context(request, change)
            return self._result(
                request,
                change.submission,
                'not_published',
                error=str(error),
                **context,
            )
        except CrocusError as error:
            # The append may have taken effect, whatever failed after it.
            log(
                'console_not_known_yet',
                submission=change.submission,
                error=str(error),
            )
            return self._verdict_page(request, change.submission, None)
        return await self._after(request, change, verdict)

    async def _after(
        self,
        request: web.Request,
        change: PreviewedChange,
        verdict: Verdict,
    ) -> web.StreamResponse:
        match verdict:
            case Rejected(code=code) if code == GENERATION_CONFLICT:
                return await self._conflict(request, change)
            case Rejected(faults=faults) if change.form is not None:
                found = field_faults(change.form, faults)
                return self.services.form_page(request, change.form, found)
            case Rejected():
                return self._verdict_page(request, change.submission, verdict)
        # Loading the result again does not post the form again.
        raise web.HTTPSeeOther(f'/submissions/{change.submission}')

    async def _conflict(
        self,
        request: web.Request,
        change: PreviewedChange,
    ) -> web.StreamResponse:
        if change.form is None:
            return await self.services.preview_deletion(
                request, change.name, _OTHER_CHANGE
            )
        document = (await self.console.known_document()).document
        if digest_of(document, change.name) != change.form.seen:
            error = ChangedMeanwhileError(document)
            return self.services.conflict_page(request, change.form, error)
        return await self.services.preview_form(
            request, change.form, _OTHER_CHANGE
        )

    def _verdict_page(
        self,
        request: web.Request,
        submission: str,
        verdict: Verdict | None,
    ) -> web.StreamResponse:
        match verdict:
            case Accepted(generation=generation):
                return self._result(
                    request, submission, 'accepted', generation=generation
                )
            case Rejected() as rejected:
                return self._result(
                    request, submission, 'rejected', rejected=rejected
                )
        return self._result(request, submission, 'not_known_yet')

    def _result(
        self,
        request: web.Request,
        submission: str,
        outcome: str,
        **context: Any,
    ) -> web.StreamResponse:
        return self.console.page(
            request,
            'result.html',
            status=_STATUS.get(outcome, web.HTTPOk.status_code),
            submission=submission,
            outcome=outcome,
            **context,
        )


_STATUS: Mapping[str, int] = {  # noqa: WPS407 - read-only by convention
    'not_known_yet': web.HTTPAccepted.status_code,
    'not_published': _UNAVAILABLE,
    'unreachable': _UNAVAILABLE,
}


def _submission(posted: Mapping[str, str]) -> str:
    submission = posted.get('submission', '')
    if _SUBMISSION.fullmatch(submission) is None:
        raise wrong_form('submission', 'the id of a preview', submission)
    return submission
