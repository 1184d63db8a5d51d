"""Pages that show services and edit their forms, up to the preview."""

from collections.abc import Mapping
from typing import Any

from aiohttp import web

from ..config.publisher import NoConfigurationError
from ..errors import Fault, InvalidDocumentError, PlatformUnavailableError
from ..logs import log
from .changes import differences, form_in, new_form
from .console import SESSION, Console, faults_by_path, read_post, seal
from .desk import (
    ChangedMeanwhileError,
    Preview,
    PreviewedChange,
    ServiceUnknownError,
)
from .forms import COLUMNS, FIELDS, ServiceForm, read_form

_UNPROCESSABLE = 422
_UNAVAILABLE = 503
_CONFLICT = web.HTTPConflict.status_code
_OK = web.HTTPOk.status_code


class ServicePages:
    """The list of services, the form of one, and previews."""

    def __init__(self, console: Console) -> None:
        self.console = console

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these pages."""
        return [
            web.get('/', self.services),
            web.get('/services', self.new),
            web.get('/services/{name}', self.service),
            web.get('/services/{name}/delete', self.deletion),
            web.post('/edit', self.edit),
            web.post('/preview', self.preview),
        ]

    async def services(self, request: web.Request) -> web.StreamResponse:
        """List the services in force."""
        known = await self.console.known_document()
        services = known.document.services
        return self.console.page(
            request,
            'services.html',
            document=known.document,
            problem=known.problem,
            services=[services[name] for name in sorted(services)],
        )

    async def new(self, request: web.Request) -> web.StreamResponse:
        """Show the form of a new service, filled with the defaults."""
        known = await self.console.known_document()
        return self.form_page(
            request, new_form(known.document), problem=known.problem
        )

    async def service(self, request: web.Request) -> web.StreamResponse:
        """Show the form of a service as it is in force."""
        known = await self.console.known_document()
        form = form_in(known.document, request.match_info['name'])
        if form is None:
            raise web.HTTPNotFound(reason='There is no such service.')
        return self.form_page(request, form, problem=known.problem)

    async def edit(self, request: web.Request) -> web.StreamResponse:
        """Show a form as it was typed, with more empty rows."""
        return self.form_page(request, read_form(await read_post(request)))

    async def preview(self, request: web.Request) -> web.StreamResponse:
        """Show what a form would change, or what is wrong with it."""
        form = read_form(await read_post(request))
        return await self.preview_form(request, form)

    async def preview_form(
        self,
        request: web.Request,
        form: ServiceForm,
        notice: str = '',
    ) -> web.StreamResponse:
        """Preview on the newest generation; ``notice`` tells why again."""
        try:
            preview = await self.console.desk.preview(
                form, request[SESSION].operator
            )
        except InvalidDocumentError as error:
            return self.form_page(request, form, error.faults)
        except ChangedMeanwhileError as error:
            log('console_conflict', service=form.name)
            return self.conflict_page(request, form, error)
        except (PlatformUnavailableError, NoConfigurationError) as error:
            return self.form_page(
                request, form, status=_UNAVAILABLE, problem=str(error)
            )
        return self.preview_page(request, preview, notice)

    async def deletion(self, request: web.Request) -> web.StreamResponse:
        """Ask for confirmation of a deletion."""
        name = request.match_info['name']
        return await self.preview_deletion(request, name)

    async def preview_deletion(
        self,
        request: web.Request,
        name: str,
        notice: str = '',
    ) -> web.StreamResponse:
        """Preview a deletion on the newest generation."""
        try:
            preview = await self.console.desk.preview_deletion(name)
        except ServiceUnknownError as error:
            reason = 'There is no such service; it may have been deleted.'
            raise web.HTTPNotFound(reason=reason) from error
        return self.preview_page(request, preview, notice)

    def preview_page(
        self,
        request: web.Request,
        preview: Preview,
        notice: str = '',
    ) -> web.StreamResponse:
        """Show a preview, whose button publishes it."""
        change = PreviewedChange(
            preview.submission, preview.name, preview.base, preview.form
        )
        return self.console.page(
            request,
            'preview.html',
            status=_CONFLICT if notice else _OK,
            preview=preview,
            notice=notice,
            **self.change_context(request, change),
        )

    def change_context(
        self,
        request: web.Request,
        change: PreviewedChange,
    ) -> Mapping[str, Any]:
        """Return what a page needs to post a change again."""
        return {
            'change': change,
            'seal': seal(request[SESSION], change),
            'fields': FIELDS,
            'columns': COLUMNS,
        }

    def conflict_page(
        self,
        request: web.Request,
        form: ServiceForm,
        error: ChangedMeanwhileError,
    ) -> web.StreamResponse:
        """Show what was typed beside what is in force now."""
        found = form_in(error.document, form.name)
        rebased = ServiceForm(
            form.name,
            error.document.generation,
            form.texts,
            form.rows,
            found.seen if found else '',
        )
        conflict = {
            'generation': rebased.base,
            'deleted': found is None,
            'lines': differences(found, form),
        }
        return self.form_page(
            request, rebased, status=_CONFLICT, conflict=conflict
        )

    def form_page(
        self,
        request: web.Request,
        form: ServiceForm,
        faults: tuple[Fault, ...] = (),
        *,
        status: int = _OK,
        conflict: Mapping[str, Any] | None = None,
        problem: str = '',
    ) -> web.Response:
        """Show a form with what was typed, and what is wrong with it."""
        return self.console.page(
            request,
            'service.html',
            status=_UNPROCESSABLE if faults else status,
            form=form,
            faults=faults,
            faults_at=faults_by_path(faults),
            conflict=conflict,
            problem=problem,
            fields=FIELDS,
            columns=COLUMNS,
        )
