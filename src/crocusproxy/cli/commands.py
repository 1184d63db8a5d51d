"""The commands; each returns what is to be printed."""

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
from .output import Result, change_line, table
from .system import System


def check(file: str) -> Result:
    """Check a file without a running system."""
    document = read_operator_file(Path(file))
    services, upstreams = len(document.services), len(document.upstreams)
    plain = {'valid': True, 'services': services, 'upstreams': upstreams}
    return Result(
        plain, f'valid: {services} service(s), {upstreams} upstream(s)'
    )


async def publish(
    system: System,
    file: str,
    operator: str,
    base: int | None,
) -> Result:
    """Publish a file and wait for its verdict."""
    wanted = read_operator_file(Path(file))
    publisher = system.publisher()
    publisher.on_append.append(_announce)
    submission = await publisher.replace(wanted, operator, base)
    if submission is None:
        generation = publisher.reader.state.document.generation
        plain = {'verdict': 'unchanged', 'generation': generation}
        return Result(plain, f'nothing differs from generation {generation}')
    return submission_result(submission)


def submission_result(submission: Submission) -> Result:
    """Report the verdict on a submission."""
    plain = {
        'submission': submission.id,
        **codec.to_plain(submission.verdict),
    }
    match submission.verdict:
        case Accepted(generation=generation):
            return Result(plain, f'accepted as generation {generation}')
        case Rejected() as rejected:
            return Result(plain, _rejected_text(rejected), ExitCode.rejected)


async def show(system: System) -> Result:
    """Show the current configuration in the form that publish reads."""
    document = await system.document()
    text = format_operator_text(document).rstrip()
    return Result(codec.to_plain(document), text)


async def diff(system: System, file: str) -> Result:
    """Show what publishing a file would change."""
    wanted = read_operator_file(Path(file))
    current = await system.document()
    edits = edits_between(current, wanted)
    plain = {
        'generation': current.generation,
        'edits': [codec.to_plain(edit) for edit in edits],
    }
    text = f'generation {current.generation}, {len(edits)} edit(s)'
    lines = (change_line(current, edit) for edit in edits)
    return Result(plain, '\n'.join((text, *lines)))


async def locate(system: System, service: str) -> Result:
    """Show the homes of a service."""
    document = await system.document()
    found = document.services.get(service)
    if found is None:
        raise WrongInputError(
            f'{service_path(service)} is not in '
            f'generation {document.generation}',
            code='service_unknown',
        )
    homes = choose_homes(service, await system.view(), found.homes)
    plain = {
        'service': service,
        'generation': document.generation,
        'homes': [codec.to_plain(home) for home in homes],
    }
    rows = [(home.name, home.failure_domain, home.proxy) for home in homes]
    return Result(plain, table(('home', 'failure domain', 'proxy'), rows))


def _announce(change: Change) -> None:
    # The id is known even if the command is interrupted during the wait.
    print(f'submission {change.submission}', file=sys.stderr)


def _rejected_text(rejected: Rejected) -> str:
    head = (
        f'rejected [{rejected.code}]; '
        f'the current generation is {rejected.generation}'
    )
    return '\n'.join((head, *(f'  {fault}' for fault in rejected.faults)))
