"""Attempts and patience: the life of a request from its arrival to its one answer."""

from puffindeck.hashes import hash_fraction
from puffindeck.interface import (
    NOT_PROCESSED,
    AttemptEnded,
    AttemptEstablished,
    Cancel,
    ClientDisconnected,
    ConnectionRestored,
    Effect,
    Fail,
    Migrate,
    Outcome,
    Reject,
    RequestAborted,
    RequestArrived,
    Send,
)
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.relief import TICK_MS
from puffindeck.policy.walk import Walk

PATIENCE = 0.5  # of the aim: how long a request waits at most while all servers are at their ceilings
RETRY_MS = 40.0  # how long a request is held before another walk when no server may take it


class Attempts(Walk):
    """When a request is sent, tried again, refused or given up."""

    def _requested(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            return
        load = event.load_hint or self._class_load(event.cls)
        request = Request(event, self.settings, load, self.now + event.remaining_ms)
        request.mid_flow, request.returning, request.came_ms = event.mid_flow, event.returning, self.now
        self.requests[request.id] = request
        self._saw(request)
        self.arrives()
        self._at(request.deadline, self._overdue, request)
        self._place(request)

    def _opened(self, event: ConnectionRestored) -> None:
        if event.request in self.requests:
            return
        request = Request(event, self.settings, event.load_hint or self._class_load(event.cls), INF)
        request.attempts, request.out, request.begun = 1, True, True
        self.requests[request.id] = request
        self._saw(request)
        self._count(request, self._server(event.endpoint))

    def _place(self, request: Request) -> None:
        """Send a request on, or hold it while a server may still appear."""
        if request.answered or request.out or request.id not in self.requests:
            return
        if request.attempts >= request.most or self.now >= request.deadline:
            self._answer(request)
            return
        if self.pending >= self.window:
            self._at(self.now + RETRY_MS, self._place, request)
            return
        endpoint, within = self.walk(request)
        if endpoint is None:
            waited = self.now - request.came_ms > PATIENCE * request.rules.latency_objective_ms
            stuck = request.ran is not None and self.now >= self.repeats_until(request)
            if stuck or (waited and not within):
                self._answer(request)
            else:
                wait = RETRY_MS + (self.now - request.came_ms) / 4  # less and less often
                self._at(self.now + wait, self._place, request)
        elif not within and self._over_share(request) and request.attempts == 0:
            self._answer(request)
        else:
            self._send(request, endpoint)

    def _over_share(self, request: Request) -> bool:
        """Does this gateway hold more of the tenant's connections than its part of the tenant's share?"""
        quotas = self.settings.tenant_connection_quotas[request.tenant : request.tenant + 1]
        return any(self.tenants[request.tenant] > quota / self.settings.gateways for quota in quotas)

    def _send(self, request: Request, endpoint: Endpoint) -> None:
        left = timeout = request.deadline - self.now
        if request.rules.effect != Effect.NOT_IDEMPOTENT and request.attempts + 1 < request.most:
            if self.settings.can_cancel:  # what is slow, this server or all, shows only later
                self._at(
                    self.now + request.rules.latency_objective_ms, self._late, (request, request.attempts + 1)
                )
            else:  # so that another try fits
                timeout = min(left, max(request.rules.latency_objective_ms, left / 2))
        if endpoint.started > 0 and self._warmth(endpoint) < 1.0:
            push = max(1.0, request.load / self.mean_load)  # a light one is one more all the same
            endpoint.credit -= push
            self.credit -= push
        # a connect may take its time, and the first byte must not go out after it
        until = self.repeats_until(request) if request.ran is not None else INF
        begin = max(0.001, until - self.now) if until < INF else 0.0
        request.attempts += 1
        request.out, request.sent_ms = True, self.now
        request.tried.add(endpoint.id)
        if request.ran is None:
            request.ran, request.ran_ms = endpoint, self.now
        endpoint.pending += 1
        self.pending += 1
        self._count(request, endpoint)
        self.actions.append(Send(request.id, endpoint.id, timeout, begin))

    def _began(self, event: AttemptEstablished) -> None:
        request = self.requests.get(event.request)
        if request is None or request.endpoint is None or request.begun:
            return
        request.begun = True
        endpoint = request.endpoint
        endpoint.pending -= 1
        self.pending -= 1
        self.window += 1.0 / max(1.0, self.window)
        self._trust(endpoint)
        endpoint.good_ms = self.now
        self.lately[endpoint.id] = endpoint
        self.returned.pop(endpoint.id, None)
        endpoint.newest_ms = max(endpoint.newest_ms, request.sent_ms)
        for other in request.failed_at:  # what one server serves the others could have served
            if other is not endpoint:
                self._failed(other)
        if request.answered:
            self.actions.append(Migrate(request.id))
        else:
            self._leave_out(request)

    def _late(self, sent: tuple[Request, int]) -> None:
        """An attempt cut off while all set-ups are slow is work for nobody, and the next one more of it.

        Another try comes only where others, asked later, have set up meanwhile: one if this one is on trial.
        """
        (request, attempt), endpoint = sent, sent[0].endpoint
        if request.attempts != attempt or request.begun or request.answered or endpoint is None:
            return
        quicker = sum(s.newest_ms > request.sent_ms for s in self.lately.values())
        if quicker >= (1 if endpoint.fails else 2) and endpoint.newest_ms < request.sent_ms:
            self._failed(endpoint)
            self.actions.append(Cancel(request.id, attempt - 1))
        else:
            self._at(self.now + request.rules.latency_objective_ms / 2, self._late, sent)

    def _ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not request.out or event.attempt != request.attempts - 1:
            return
        endpoint, begun = request.endpoint, request.begun
        self._uncount(request)
        request.out = False
        if endpoint is not None:
            self._judge(endpoint, request, event, begun)
        if event.outcome in NOT_PROCESSED and request.ran_ms == request.sent_ms:
            request.ran = None  # the first that may have run did not: the next may again go anywhere
        if event.outcome == Outcome.NO_RESOURCE:
            request.most += 1
        if event.final or request.answered:
            self._drop(request)
        elif event.outcome == Outcome.NO_RESOURCE:
            self._at(self.now + RETRY_MS, self._place, request)
        elif event.outcome == Outcome.CONNECT_FAILED or request.attempts == 1:
            self._place(request)
        else:  # tries that fail fast must not be used up at once, nor storm what is in trouble
            wait = RETRY_MS * 2 ** (request.attempts - 2) * (0.5 + self.random.random())
            self._at(self.now + wait, self._place, request)

    def _client_left(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            self._close(request)

    def _overdue(self, request: Request) -> None:
        if not request.answered and not request.begun and self.requests.get(request.id) is request:
            self._answer(request)

    def _dismissed(self, event: RequestAborted) -> None:
        """Its gateway ends. A class that may be repeated may be refused too while an attempt is out."""
        request = self.requests.get(event.request)
        if request is not None and not request.answered and not request.begun:
            self._answer(request, request.is_safe_to_retry())

    def _answer(self, request: Request, refuse: bool | None = None) -> None:
        """The one final answer; a refusal only where a retry is known to do no harm."""
        if refuse is None:
            refuse = request.is_safe_to_retry() and not request.out
        self.actions.append(Reject(request.id, self._come_back(request)) if refuse else Fail(request.id))
        self._close(request)

    def _come_back(self, request: Request) -> float:
        """When a refused client may come again: after a tick, when ceilings may give; not all at once."""
        return min(
            self.settings.max_retry_after_ms, TICK_MS * (0.5 + hash_fraction(request.id, self.settings.zone))
        )

    def _close(self, request: Request) -> None:
        """Nothing more is owed; an attempt still out is followed to its outcome."""
        if request.answered:
            return
        request.answered = True
        if not request.out:
            self._drop(request)
        elif self.settings.can_cancel and not request.begun:
            self.actions.append(Cancel(request.id, request.attempts - 1))

    def _drop(self, request: Request) -> None:
        del self.requests[request.id]
        self.tenants[request.tenant] -= 1
