"""Choice of the addresses of a service for a caller."""

from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

from ..config.model import Document, Service
from ..errors import CrocusError
from ..membership.homes import HomeTable
from ..membership.view import Instance, InstanceView
from ..protocol.locate import Located, LocatedAddress
from .stickiness import goes_to_older_balancer


class ServiceUnknownError(CrocusError):
    """The configuration in force has no such service."""

    code = 'service_unknown'


class NotReadyError(CrocusError):
    """No configuration or no instance list has arrived yet."""

    code = 'not_ready'


class NoHomeError(CrocusError):
    """The instance list has no live instance."""

    code = 'no_home'


@dataclass(slots=True)
class AddressResolver:
    """Resolves services by the latest document and instance view.

    ``nearest`` lists failure domains, the nearest first; domains that are not
    listed are the furthest.
    """

    nearest: tuple[str, ...]
    validity: timedelta
    document: Document = field(default_factory=Document)
    home_table: HomeTable = field(default_factory=HomeTable)

    def apply_document(self, document: Document) -> None:
        """Replace the configuration document."""
        self.document = document

    def apply_view(self, view: InstanceView) -> None:
        """Replace the instance view."""
        self.home_table.apply_view(view)

    def not_ready_reason(self) -> str:
        """Return why no request can be served; empty if ready."""
        if not self.document.generation:
            return 'no_configuration'
        return '' if self.home_table.view.version else 'no_instance_list'

    def locate(self, service: str, caller: str) -> Located:
        """Return the addresses of ``service`` for ``caller``.

        Raises:
            NotReadyError: there is no configuration or no instance list.
            ServiceUnknownError: the configuration has no such service.
            NoHomeError: the service has no home.
        """
        addresses = self._addresses(self._service(service), caller)
        return Located(
            service=service,
            generation=self.document.generation,
            validity_ms=self.validity // timedelta(milliseconds=1),
            addresses=addresses,
        )

    def _service(self, name: str) -> Service:
        if not self.document.generation:
            raise NotReadyError('this locator has no configuration yet')
        service = self.document.services.get(name)
        if service is None:
            raise ServiceUnknownError(
                f'generation {self.document.generation} has no service {name!r}'
            )
        return service

    def _addresses(
        self,
        service: Service,
        caller: str,
    ) -> tuple[LocatedAddress, ...]:
        older_balancer = service.older_balancer
        if older_balancer and goes_to_older_balancer(
            service.name, caller, older_balancer.share
        ):
            return (LocatedAddress(older_balancer.address, older=True),)
        homes = sorted(
            self._homes(service),
            key=lambda home: (
                self._distance(home),
                _caller_order(caller, home),
            ),
        )
        return tuple(
            LocatedAddress(home.proxy, home.failure_domain) for home in homes
        )

    def _homes(self, service: Service) -> tuple[Instance, ...]:
        if not self.home_table.view.version:
            raise NotReadyError('this locator has no instance list yet')
        homes = self.home_table.homes(service.name, service.homes)
        if not homes:
            raise NoHomeError('the instance list has no live instance')
        return homes

    def _distance(self, home: Instance) -> int:
        if home.failure_domain in self.nearest:
            return self.nearest.index(home.failure_domain)
        return len(self.nearest)


def _caller_order(caller: str, home: Instance) -> int:
    """Order homes at the same distance differently for each caller.

    Otherwise the first home would get the requests of all callers.
    """
    return xxhash.xxh3_64_intdigest(f'{caller}\0{home.name}'.encode())
