"""The ledger of load: what this gateway has at each server."""

from puffindeck.choice.ring import Ring
from puffindeck.interface import LoadReported
from puffindeck.records import Request, Server

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

    def _count(self, request: Request, server: Server) -> None:
        request.server = server
        server.conns[request.id] = request
        self.placed += 1
        self.live[server.id] = server
        server.load += request.load
        if request.group:
            held = server.groups.get(request.group, 0)
            server.groups[request.group] = held + 1
            if not held:
                server.load += GROUP_COST * self.mean_load

    def _uncount(self, request: Request) -> None:
        server = request.server
        if server is None or server.conns.pop(request.id, None) is None:
            return
        self.placed -= 1
        request.server = None
        server.load -= request.load
        if not request.begun:
            server.pending -= 1
            self.pending -= 1
        if request.group:
            held = server.groups[request.group] - 1
            if held:
                server.groups[request.group] = held
            else:
                del server.groups[request.group]
                server.load -= GROUP_COST * self.mean_load

    def _load_told(self, event: LoadReported) -> None:
        request = self.requests.get(event.request)
        if request is None or request.server is None:
            return
        request.server.load += event.load - request.load
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
        for server in self.live.values():
            server.load = GROUP_COST * self.mean_load * len(server.groups)
            for request in server.conns.values():
                if not request.told:
                    request.load = self._class_load(request.cls)
                server.load += request.load
