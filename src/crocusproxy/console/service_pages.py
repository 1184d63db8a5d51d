"""Pages that list services, edit their forms and preview changes."""

from collections.abc import Mapping
from typing import Any

from aiohttp import web

from ..config.publisher import NoConfigurationError
from ..errors import Fault, InvalidDocumentError, PlatformUnavailableError
from ..logs import log
from .change_publisher import (
    ConcurrentChangeError,
    Preview,
    PreviewedChange,
    ServiceUnknownError,
)
from .changes import default_form, form_differences, form_from_document
from .console import (
    SESSION_KEY,
    Console,
    faults_by_path,
    read_post,
    sign_change,
)
from .forms import COLUMNS, FIELDS, ServiceForm, read_form

_UNPROCESSABLE = 422
_UNAVAILABLE = 503
_CONFLICT = web.HTTPConflict.status_code
_OK = web.HTTPOk.status_code


class ServicePages:
    """The list of services, the service form and the previews."""

    def __init__(self, console: Console) -> None:
        self.console = console

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these pages."""
        return [
            web.get('/', self.services),
            web.get('/services', self.new_service),
            web.get('/services/{name}', self.service),
            web.get('/services/{name}/delete', self.confirm_deletion),
            web.post('/edit', self.edit),
            web.post('/preview', self.preview),
        ]

    async def services(self, request: web.Request) -> web.StreamResponse:
        """List the configured services."""
        latest = await self.console.latest_document()
        services = latest.document.services
        return self.console.page(
            request,
            'services.html',
            document=latest.document,
            problem=latest.problem,
            services=[services[name] for name in sorted(services)],
        )

    async def new_service(self, request: web.Request) -> web.StreamResponse:
        """Show the form of a new service, filled with the defaults."""
        latest = await self.console.latest_document()
        return self.form_page(
            request, default_form(latest.document), problem=latest.problem
        )

    async def service(self, request: web.Request) -> web.StreamResponse:
        """Show the form of a service with its current configuration."""
        latest = await self.console.latest_document()
        form = form_from_document(latest.document, request.match_info['name'])
        if form is None:
            raise web.HTTPNotFound(reason='The service does not exist.')
        return self.form_page(request, form, problem=latest.problem)

    async def edit(self, request: web.Request) -> web.StreamResponse:
        """Show a posted form again with more empty rows."""
        return self.form_page(request, read_form(await read_post(request)))

    async def preview(self, request: web.Request) -> web.StreamResponse:
        """Show the changes that a form would make, or its faults."""
        form = read_form(await read_post(request))
        return await self.preview_form(request, form)

    async def preview_form(
        self,
        request: web.Request,
        form: ServiceForm,
        conflict_notice: str = '',
    ) -> web.StreamResponse:
        """Show the preview of a form, or the form with its faults.

        A ``conflict_notice`` is shown above the preview and sets status 409.
        """
        try:
            preview = await self.console.change_publisher.preview(
                form, request[SESSION_KEY].operator
            )
        except InvalidDocumentError as error:
            return self.form_page(request, form, error.faults)
        except ConcurrentChangeError as error:
            log('console_conflict', service=form.name)
            return self.conflict_page(request, form, error)
        except (PlatformUnavailableError, NoConfigurationError) as error:
            return self.form_page(
                request, form, status=_UNAVAILABLE, problem=str(error)
            )
        return self.preview_page(request, preview, conflict_notice)

    async def confirm_deletion(
        self, request: web.Request
    ) -> web.StreamResponse:
        """Show the preview of a deletion, which the operator confirms."""
        name = request.match_info['name']
        return await self.preview_deletion(request, name)

    async def preview_deletion(
        self,
        request: web.Request,
        name: str,
        conflict_notice: str = '',
    ) -> web.StreamResponse:
        """Show the preview of a deletion against the newest generation."""
        try:
            preview = await self.console.change_publisher.preview_deletion(name)
        except ServiceUnknownError as error:
            reason = 'The service does not exist; it may have been deleted.'
            raise web.HTTPNotFound(reason=reason) from error
        return self.preview_page(request, preview, conflict_notice)

    def preview_page(
        self,
        request: web.Request,
        preview: Preview,
        conflict_notice: str = '',
    ) -> web.StreamResponse:
        """Show a preview with a button to publish it."""
        change = PreviewedChange(
            preview.submission, preview.name, preview.base, preview.form
        )
        return self.console.page(
            request,
            'preview.html',
            status=_CONFLICT if conflict_notice else _OK,
            preview=preview,
            conflict_notice=conflict_notice,
            **self.change_context(request, change),
        )

    def change_context(
        self,
        request: web.Request,
        change: PreviewedChange,
    ) -> Mapping[str, Any]:
        """Return the template variables for the hidden fields of a change."""
        return {
            'change': change,
            'seal': sign_change(request[SESSION_KEY], change),
            'fields': FIELDS,
            'columns': COLUMNS,
        }

    def conflict_page(
        self,
        request: web.Request,
        form: ServiceForm,
        error: ConcurrentChangeError,
    ) -> web.StreamResponse:
        """Show the posted form beside the current configuration."""
        current_form = form_from_document(error.document, form.name)
        rebased_form = ServiceForm(
            form.name,
            error.document.generation,
            form.texts,
            form.rows,
            current_form.base_digest if current_form else '',
        )
        conflict = {
            'generation': rebased_form.base,
            'deleted': current_form is None,
            'differences': form_differences(current_form, form),
        }
        return self.form_page(
            request, rebased_form, status=_CONFLICT, conflict=conflict
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
        """Show a form with its inputs and faults."""
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
