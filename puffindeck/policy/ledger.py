"""The ledger of load: what this gateway has at each server."""

from puffindeck.interface import LoadReported
from puffindeck.policy.records import Endpoint, Request
from puffindeck.policy.ring import Ring

GROUP_COST = 2.5  # mean connections that a server pays for a group's first one; a guess, told nowhere


class Ledger(Ring):
    """Load by server, group and class."""

    def _saw(self, request: Request) -> None:
        self.tenants[request.tenant] = self.tenants.get(request.tenant, 0) + 1
        self.seen += 1
        if request.key:
            self.counts[request.key] = self.counts.get(request.key, 0.0) + 1

    def _class_load(self, cls: int) -> float:
        return self.class_loads[cls] or self.mean_load

    def _count(self, request: Request, endpoint: Endpoint) -> None:
        request.endpoint = endpoint
        endpoint.connections[request.id] = request
        self.placed += 1
        self.live[endpoint.id] = endpoint
        endpoint.load += request.load
        if request.group:
            held = endpoint.groups.get(request.group, 0)
            endpoint.groups[request.group] = held + 1
            if not held:
                endpoint.load += GROUP_COST * self.mean_load

    def _uncount(self, request: Request) -> None:
        endpoint = request.endpoint
        if endpoint is None or endpoint.connections.pop(request.id, None) is None:
            return
        self.placed -= 1
        request.endpoint = None
        endpoint.load -= request.load
        if not request.begun:
            endpoint.pending -= 1
            self.pending -= 1
        if request.group:
            held = endpoint.groups[request.group] - 1
            if held:
                endpoint.groups[request.group] = held
            else:
                del endpoint.groups[request.group]
                endpoint.load -= GROUP_COST * self.mean_load

    def _load_told(self, event: LoadReported) -> None:
        request = self.requests.get(event.request)
        if request is None or request.endpoint is None:
            return
        request.endpoint.load += event.load - request.load
        request.load, request.told = event.load, True

    def _reckon(self) -> None:
        """Class means from the loads told, then every server's load anew from its connections."""
        sums = [0.0] * len(self.class_loads)
        counts = [0] * len(self.class_loads)
        for request in self.requests.values():
            if request.told and request.begun:
                sums[request.cls] += request.load
                counts[request.cls] += 1
        for cls, count in enumerate(counts):
            if count:
                before = self.class_loads[cls] or sums[cls] / count
                self.class_loads[cls] = before + (sums[cls] / count - before) * min(1.0, count / 20)
        if sum(counts):
            self.mean_load = max(1e-9, sum(sums) / sum(counts))
        for endpoint in self.live.values():
            endpoint.load = GROUP_COST * self.mean_load * len(endpoint.groups)
            for request in endpoint.connections.values():
                if not request.told:
                    request.load = self._class_load(request.cls)
                endpoint.load += request.load
