"""The ``instances`` command: all instances and the status of each."""

from ..config.server import DaemonStatus
from ..errors import CrocusError
from ..protocol import codec
from .output import Result, format_table
from .system import SystemClient

_NO_RESPONSE = 'no response'


async def instances(system: SystemClient) -> Result:
    """Show all instances with the generation that each of them serves."""
    view = await system.view()
    sorted_instances = sorted(
        view.instances, key=lambda instance: instance.name
    )
    bodies = await system.fetch_all(
        f'http://{instance.config}/v1/status' for instance in sorted_instances
    )
    statuses = [_decode_status(body) for body in bodies]
    json_value = {
        'version': view.version,
        'leaving_upstreams': sorted(view.leaving_upstreams),
        'instances': [
            {
                **codec.to_plain(instance),
                'status': codec.to_plain(status) if status else None,
            }
            for instance, status in zip(sorted_instances, statuses, strict=True)
        ],
    }
    rows = [
        (
            instance.name,
            instance.failure_domain,
            instance.state,
            instance.proxy,
            status.generation if status else _NO_RESPONSE,
            (status.problem or '-') if status else '-',
        )
        for instance, status in zip(sorted_instances, statuses, strict=True)
    ]
    header = (
        'instance',
        'failure domain',
        'state',
        'proxy',
        'generation',
        'problem',
    )
    return Result(json_value, format_table(header, rows))


def _decode_status(body: bytes | None) -> DaemonStatus | None:
    if body is None:
        return None
    try:
        return codec.decode(DaemonStatus, body)
    except CrocusError:
        return None
