"""The command ``instances``: the view and what each instance serves."""

from ..config.server import DaemonStatus
from ..errors import CrocusError
from ..protocol import codec
from .output import Result, table
from .system import System

_NO_ANSWER = 'no answer'


async def instances(system: System) -> Result:
    """Show all instances with the generation that each one serves."""
    view = await system.view()
    listed = sorted(view.instances, key=lambda one: one.name)
    bodies = await system.read_all(
        f'http://{instance.config}/v1/status' for instance in listed
    )
    statuses = [_status(body) for body in bodies]
    plain = {
        'version': view.version,
        'leaving_upstreams': sorted(view.leaving_upstreams),
        'instances': [
            {
                **codec.to_plain(instance),
                'status': codec.to_plain(status) if status else None,
            }
            for instance, status in zip(listed, statuses, strict=True)
        ],
    }
    rows = [
        (
            instance.name,
            instance.failure_domain,
            instance.state,
            instance.proxy,
            status.generation if status else _NO_ANSWER,
            (status.problem or '-') if status else '-',
        )
        for instance, status in zip(listed, statuses, strict=True)
    ]
    header = (
        'instance',
        'failure domain',
        'state',
        'proxy',
        'generation',
        'problem',
    )
    return Result(plain, table(header, rows))


def _status(body: bytes | None) -> DaemonStatus | None:
    if body is None:
        return None
    try:
        return codec.decode(DaemonStatus, body)
    except CrocusError:
        return None
