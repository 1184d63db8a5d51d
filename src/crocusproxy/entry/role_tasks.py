"""The tasks of an instance that depend on its role."""

from collections.abc import Callable, Iterable
from functools import partial

from ..membership.quota_exchange import QuotaExchange
from ..placement.placer import ServicePlacer
from .background_tasks import BackgroundTasks, Run
from .dispatch_role import DispatchRole
from .dispatcher import Dispatcher
from .prober import Prober


class RoleTasks:
    """Starts and stops the tasks of a home and of a dispatching instance.

    ``connect`` must be called before any other method except ``cancel``.
    """

    def __init__(
        self, role: DispatchRole, dispatcher: Dispatcher, prober: Prober
    ) -> None:
        self.role = role
        self.dispatcher = dispatcher
        self.prober = prober
        self.home_tasks = BackgroundTasks()
        self.probe_tasks = BackgroundTasks()

    def connect(
        self,
        quota_exchange: QuotaExchange,
        create_home_tasks: Callable[[], Iterable[Run]],
    ) -> None:
        """Set the components that need the connections to other members."""
        self.quota_exchange = quota_exchange
        self.create_home_tasks = create_home_tasks

    def start_home_tasks(self) -> None:
        """Start the tasks that only the home runs."""
        for task in self.create_home_tasks():
            self.home_tasks.spawn(task)
        self.update_role()

    def stop_home_tasks(self) -> None:
        """Stop the tasks that only the home runs."""
        self.home_tasks.cancel()
        self.update_role()

    def update_role(self) -> None:
        """Dispatch to the owned upstreams; probe them if this is a home."""
        is_dispatcher = self.role.is_dispatcher()
        self.dispatcher.assign_role(self.role, is_exclusive=is_dispatcher)
        self.dispatcher.hand_over()
        self.quota_exchange.set_role(
            is_dispatcher=is_dispatcher, others=self.role.other_domain_homes()
        )
        if not is_dispatcher:
            self.probe_tasks.cancel()
        elif not self.probe_tasks.tasks:
            self.probe_tasks.spawn(
                partial(self.prober.run, self.dispatched_placers)
            )

    def dispatched_placers(self) -> list[ServicePlacer]:
        """Return the placers of the services that are dispatched here."""
        return [
            placer
            for placer in self.dispatcher.placers.values()
            if self.role.dispatches(placer.service)
        ]

    def cancel(self) -> None:
        """Cancel all tasks."""
        self.home_tasks.cancel()
        self.probe_tasks.cancel()
