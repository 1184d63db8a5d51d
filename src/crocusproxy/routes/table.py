"""Lookup of the route and the service of a request."""

from .model import Route, RouteConfig, WeightedService


class TrafficSplit:
    """Distributes requests over the services of a route by their weights.

    Smooth weighted round robin: the shares are exact over each full cycle, so
    they hold within each second and not only on average. If all weights are 0,
    the services get equal shares.

    >>> from .model import WeightedService
    >>> split = TrafficSplit((WeightedService('a', 3), WeightedService('b', 1)))
    >>> [split.next_service() for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    def __init__(self, weighted_services: tuple[WeightedService, ...]) -> None:
        self.weighted_services = weighted_services
        weights = [weighted.weight for weighted in weighted_services]
        self.weights = weights if any(weights) else [1 for _ in weights]
        self.total = sum(self.weights)
        self.credits = [0 for _ in weighted_services]

    def next_service(self) -> str:
        """Return the service of the next request."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        for index, weight in enumerate(self.weights):
            self.credits[index] += weight
        best = max(
            range(len(self.weighted_services)), key=self.credits.__getitem__
        )
        self.credits[best] -= self.total
        return self.weighted_services[best].service


class RouteTable:
    """Finds routes of one configuration by host and longest prefix."""

    def __init__(self, config: RouteConfig) -> None:
        self.config = config
        self.splits = {
            route.name: TrafficSplit(route.parts) for route in config.routes
        }
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            prefixes = self.by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if no route matches."""
        prefixes = self.by_host.get(_host_name(host))
        if prefixes is None:
            return None
        location = path.partition('?')[0]
        end = location.rfind('/')
        while end >= 0:
            route = prefixes.get(location[: end + 1])
            if route is not None:
                return route
            end = location.rfind('/', 0, end)
        return None

    def service_for(self, route: Route) -> str:
        """Return the service for the next request of ``route``."""
        return self.splits[route.name].next_service()


def _host_name(host: str) -> str:
    name, separator, port = host.rpartition(':')
    return (name if separator and port.isdigit() else host).lower()
