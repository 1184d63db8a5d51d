"""Commands of crocusctl; each returns the result to print."""

import sys
from pathlib import Path

from ..config.change import Change, edits_between
from ..config.operator_document import format_operator_text, read_operator_file
from ..config.publisher import Submission
from ..config.validation import service_path
from ..config.verdict import Accepted, Rejected
from ..membership.homes import choose_homes
from ..protocol import codec
from .exits import ExitCode, WrongInputError
from .output import Result, format_edit, format_table
from .system import SystemClient


def check(file: str) -> Result:
    """Validate a file; needs no running system."""
    document = read_operator_file(Path(file))
    services, upstreams = len(document.services), len(document.upstreams)
    json_value = {'valid': True, 'services': services, 'upstreams': upstreams}
    return Result(
        json_value, f'valid: {services} service(s), {upstreams} upstream(s)'
    )


async def publish(
    system: SystemClient,
    file: str,
    operator: str,
    base: int | None,
) -> Result:
    """Publish a file and wait for its verdict."""
    new_document = read_operator_file(Path(file))
    publisher = system.publisher()
    publisher.on_append.append(_print_submission_id)
    submission = await publisher.replace(new_document, operator, base)
    if submission is None:
        generation = publisher.reader.state.document.generation
        json_value = {'verdict': 'unchanged', 'generation': generation}
        return Result(
            json_value, f'no differences from generation {generation}'
        )
    return submission_result(submission)


def submission_result(submission: Submission) -> Result:
    """Return the verdict on a submission as a result."""
    json_value = {
        'submission': submission.id,
        **codec.to_plain(submission.verdict),
    }
    match submission.verdict:
        case Accepted(generation=generation):
            return Result(json_value, f'accepted as generation {generation}')
        case Rejected() as rejected:
            return Result(
                json_value, _rejection_text(rejected), ExitCode.rejected
            )


async def show(system: SystemClient) -> Result:
    """Show the current configuration in the form that publish reads."""
    document = await system.document()
    text = format_operator_text(document).rstrip()
    return Result(codec.to_plain(document), text)


async def diff(system: SystemClient, file: str) -> Result:
    """Show the edits that publishing a file would make."""
    new_document = read_operator_file(Path(file))
    current = await system.document()
    edits = edits_between(current, new_document)
    json_value = {
        'generation': current.generation,
        'edits': [codec.to_plain(edit) for edit in edits],
    }
    header = f'generation {current.generation}, {len(edits)} edit(s)'
    lines = (format_edit(current, edit) for edit in edits)
    return Result(json_value, '\n'.join((header, *lines)))


async def locate(system: SystemClient, service: str) -> Result:
    """Show the homes of a service."""
    document = await system.document()
    service_config = document.services.get(service)
    if service_config is None:
        raise WrongInputError(
            f'{service_path(service)} is not in '
            f'generation {document.generation}',
            code='service_unknown',
        )
    homes = choose_homes(service, await system.view(), service_config.homes)
    json_value = {
        'service': service,
        'generation': document.generation,
        'homes': [codec.to_plain(home) for home in homes],
    }
    rows = [(home.name, home.failure_domain, home.proxy) for home in homes]
    return Result(
        json_value, format_table(('home', 'failure domain', 'proxy'), rows)
    )


def _print_submission_id(change: Change) -> None:
    # Printed before the wait: the id is needed if the command is interrupted.
    print(f'submission {change.submission}', file=sys.stderr)


def _rejection_text(rejected: Rejected) -> str:
    header = (
        f'rejected [{rejected.code}]; '
        f'the current generation is {rejected.generation}'
    )
    return '\n'.join((header, *(f'  {fault}' for fault in rejected.faults)))
