"""All checks of one version of the configuration."""

from ..routes.model import RouteConfig
from .accounts import account_findings
from .findings import Finding, error
from .limits import limit_findings
from .matching import matching_findings


def check_config(config: RouteConfig) -> tuple[Finding, ...]:
    """Return all findings about a configuration on its own."""
    return (
        *matching_findings(config),
        *limit_findings(config),
        *account_findings(config.accounts or ()),
    )


def check_version(
    before: RouteConfig, after: RouteConfig
) -> tuple[Finding, ...]:
    """Return a finding if ``after`` would not replace ``before``."""
    if after.version > before.version:
        return ()
    message = (
        f'version {after.version:08x} is not higher than '
        f'{before.version:08x}, so instances ignore it'
    )
    return (error('version_not_higher', message, 'version'),)
