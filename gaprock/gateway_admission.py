"""Admits calls within the capacity of their services, before their first send.

Load condition: demand above what a service's endpoints can answer in time.
``service_admission`` decides; this module collects what the decisions depend on, lets
calls wait, and logs and counts the decisions.
"""

import contextlib
import threading
import typing

from gaprock import (
    admission_queue,
    clock,
    directory,
    endpoint_state,
    errorcodes,
    eventlog,
    gateway_call,
    gateway_metrics,
    mechanisms,
    mesh_messages,
    service_admission,
    service_capacity,
    workspace_shares,
)

# Values of the setting ``capacity_control``.
OFF: typing.Final = "off"
REPORTED: typing.Final = "reported"
ALL: typing.Final = "all"
MODES: typing.Final = (OFF, REPORTED, ALL)
# Time for which a service's summed capacity is used before it is summed again: while
# less than ``CALM_SHARE`` of the slots is taken, and otherwise.  In a large service it
# is longer, since an endpoint takes about a microsecond.
CALM_AGE_S: typing.Final = 1.0
BUSY_AGE_S: typing.Final = 0.1
AGE_PER_ENDPOINT_S: typing.Final = 0.001
CALM_SHARE: typing.Final = 0.25
# A call may wait for admission for this share of its latency goal: what is left covers
# an endpoint's first event at a filled endpoint.
WAIT_SHARE: typing.Final = 0.3
# Interval at which the call whose turn is next, and any other, is decided again.
FIRST_POLL_S: typing.Final = 0.02
POLL_S: typing.Final = 0.06
# While the capacity is used up, a larger model is asked only below this confidence, on
# a scale of 0 to 100: such an answer is wrong four times out of five.
MAX_SCARCE_CONFIDENCE: typing.Final = 20.0
# Stands for callers that belong to no workspace.
NO_WORKSPACE: typing.Final = "-"
# Interval between two log lines that a service's capacity is used up.
USED_UP_LOG_S: typing.Final = 5.0


class Gateways(typing.Protocol):
    """What is known of the other gateways."""

    demand: workspace_shares.DemandBook

    def members(self) -> int:
        """Return the number of live gateways, this one included."""

    def peak_gateways(self) -> int:
        """Return the recent peak number of gateways."""


class _Service:
    """A service's admission, and its summed capacity as of some time."""

    __slots__ = (
        "admission",
        "capacity",
        "gateways",
        "peak",
        "is_controlled",
        "expires_at",
        "places",
        "next_log_at",
    )

    def __init__(self, admission: service_admission.ServiceAdmission) -> None:
        self.admission = admission
        self.capacity = service_capacity.NO_CAPACITY
        self.gateways = self.peak = 1
        self.is_controlled = False
        self.expires_at = -clock.NEVER
        self.places = admission_queue.Places()
        self.next_log_at = -clock.NEVER

    @property
    def situation(self) -> service_admission.Situation:
        return service_admission.Situation(self.capacity, self.gateways, self.peak)


class Admission:
    """Admits the calls of all services; thread-safe.

    :param mode: which services are controlled, one of ``MODES``.
    """

    __slots__ = ("_clock", "_directory", "_gateways", "_mode", "_lock", "_services")

    def __init__(
        self,
        clock_: clock.Clock,
        directory_: directory.Directory,
        gateways: Gateways,
        mode: str,
    ) -> None:
        self._clock = clock_
        self._directory = directory_
        self._gateways = gateways
        self._mode = mode
        self._lock = threading.Lock()
        self._services: dict[str, _Service] = {}

    @contextlib.contextmanager
    def admitted(
        self, call: gateway_call.Call, reply: gateway_call.Reply
    ) -> typing.Iterator[None]:
        """Admit a call for the time in which it is served.

        :raises gateway_call.CallError: when it is refused.
        :raises http_exchange.CallerGone: when the caller left while it waited.
        """
        if self._mode == OFF:
            yield
            return
        ticket = self._enter(call, reply)
        try:
            yield
        finally:
            self._leave(call, ticket)

    def allows_larger(self, call: gateway_call.Call, confidence: float | None) -> bool:
        """Whether a larger model may be asked, which takes several times the work."""
        if self._mode == OFF:
            return True
        if confidence is not None and confidence < MAX_SCARCE_CONFIDENCE:
            return True
        with self._lock:
            service = self._refreshed(call.service)
            now = self._clock.now()
            return not service.is_controlled or not service.admission.is_used_up(
                service.situation, now
            )

    def own_demand(self, max_named: int) -> list[mesh_messages.DemandUpdate]:
        """Return the demand at this gateway, for a heartbeat."""
        now = self._clock.now()
        with self._lock:
            return [
                update
                for service in self._services.values()
                if service.is_controlled
                for update in service.admission.updates(
                    service.situation, max_named, now
                )
            ]

    def set_metrics(self, metrics: gateway_metrics.GatewayMetrics) -> None:
        """Set the gauges of the controlled services."""
        now = self._clock.now()
        metrics.workspace_use.clear()
        with self._lock:
            for name in list(self._services):
                service = self._refreshed(name)
                if service.is_controlled:
                    self._set_service_metrics(metrics, service, now)

    def _set_service_metrics(
        self,
        metrics: gateway_metrics.GatewayMetrics,
        service: _Service,
        now: float,
    ) -> None:
        admission, situation = service.admission, service.situation
        name = admission.service
        metrics.capacity.labels(name).set(situation.capacity.limit)
        use = admission.demand(situation, now).running
        metrics.capacity_use.labels(name).set(use)
        metrics.capacity_waiting.labels(name).set(len(admission.queue))
        metrics.capacity_refused.labels(name).set(admission.refused)
        metrics.capacity_lent.labels(name).set(admission.lent)
        demands = admission.by_workspace(situation, now)
        updates = workspace_shares.to_updates(name, demands, workspace_shares.MAX_NAMED)
        for one in updates:
            if one.workspace:
                gauge = metrics.workspace_use.labels(name, one.workspace)
                gauge.set(one.running)

    # -- Calls --

    def _enter(
        self, call: gateway_call.Call, reply: gateway_call.Reply
    ) -> service_admission.Ticket:
        name = workspace_name(call)
        with self._lock:
            now = self._clock.now()
            service = self._refreshed(call.service)
            if not service.is_controlled:
                return service.admission.admit(name, 0.0, now)
            request = self._request(call, service, name, now)
            verdict = service.admission.offer(request, service.situation, now)
        if verdict.waiter is not None:
            self._log_used_up(service, now)
            eventlog.info("admission-waits", request=call.info.request, workspace=name)
            verdict = self._wait(call, reply, service, request, verdict.waiter)
        if verdict.ticket is None:
            self._log_used_up(service, now)
            raise self._refusal(call, service, verdict)
        return verdict.ticket

    def _request(
        self, call: gateway_call.Call, service: _Service, name: str, now: float
    ) -> service_admission.Request:
        comes_first = call.info.resume_after is not None
        # The body is hashed only while callers are expected back.
        if not service.places.is_empty:
            comes_first = service.places.claim(call.fingerprint, now) or comes_first
        return service_admission.Request(
            name,
            comes_first,
            call.urgency,
            min(
                call.deadline, call.inbound.arrived_at + WAIT_SHARE * call.route.goal_s
            ),
            call.deadline,
            max(0.0, call.wait_until - now),
        )

    def _wait(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        service: _Service,
        request: service_admission.Request,
        waiter: admission_queue.Waiter,
    ) -> service_admission.Verdict:
        """Let a call wait until it is admitted or refused."""
        admission = service.admission
        is_decided = False
        try:
            while True:
                with self._lock:
                    is_next = admission.queue.next() is waiter
                threading.Event().wait(FIRST_POLL_S if is_next else POLL_S)
                reply.caller.check()
                with self._lock:
                    now = self._clock.now()
                    self._refreshed(call.service)
                    situation = service.situation
                    verdict = admission.check(request, waiter, situation, now)
                    is_decided = verdict.waiter is None
                if is_decided:
                    return verdict
        finally:
            if not is_decided:
                with self._lock:
                    admission.give_up(waiter)

    def _leave(self, call: gateway_call.Call, ticket: service_admission.Ticket) -> None:
        with self._lock:
            now = self._clock.now()
            service = self._services[call.service]
            service.admission.end(ticket, now)
            is_late = _is_late(call, ticket.admitted_at, now)
            if is_late is None or not service.is_controlled:
                return
            fill_limit = service.admission.fill_limit
            has_changed = fill_limit.record(is_late, ticket.fill, now)
        if has_changed:
            eventlog.info("fill-limit", service=call.service, share=fill_limit.value)

    def _refusal(
        self,
        call: gateway_call.Call,
        service: _Service,
        verdict: service_admission.Verdict,
    ) -> gateway_call.CallError:
        """Return the refusal of a call beyond its workspace's share.

        A caller that returned before its time is told that time again.
        """
        retry_s = verdict.retry_s
        with self._lock:
            now = self._clock.now()
            due_at = service.places.due_at(call.fingerprint, now)
            if due_at is not None:
                retry_s = due_at - now
            else:
                service.places.keep(call.fingerprint, now + retry_s)
        name = workspace_name(call)
        eventlog.info(
            "admission-refused",
            request=call.info.request,
            service=call.service,
            workspace=name,
            share=verdict.level,
            running=verdict.running,
            waited_s=now - call.inbound.arrived_at,
            retry_s=retry_s,
        )
        detail = f"share {verdict.level:.3g}, running {verdict.running}"
        return gateway_call.CallError(errorcodes.OVERLOADED, detail, retry_s)

    def _log_used_up(self, service: _Service, now: float) -> None:
        if now < service.next_log_at:
            return
        service.next_log_at = now + USED_UP_LOG_S
        with self._lock:
            demand = service.admission.demand(service.situation, now)
        eventlog.info(
            "capacity-used-up",
            service=service.admission.service,
            capacity=service.situation.bound,
            slots=service.capacity.slots,
            fill_limit=service.admission.fill_limit.value,
            running=demand.running,
            waiting=demand.waiting,
            gateways=service.gateways,
        )

    # -- Capacity --

    def _refreshed(self, name: str) -> _Service:
        """Return a service with its present capacity."""
        service = self._services.get(name)
        if service is None:
            admission = service_admission.ServiceAdmission(name, self._gateways.demand)
            service = self._services[name] = _Service(admission)
        now = self._clock.now()
        if now >= service.expires_at:
            self._refresh(service, now)
        return service

    def _refresh(self, service: _Service, now: float) -> None:
        name = service.admission.service
        endpoints = self._directory.of_service(name)
        service.is_controlled = mechanisms.SHARES.on and (
            self._mode == ALL or any(e.pace.is_reported for e in endpoints)
        )
        service.expires_at = now + CALM_AGE_S
        if not service.is_controlled:
            return
        service.gateways = max(1, self._gateways.members())
        service.peak = self._gateways.peak_gateways()
        service.capacity = service_capacity.sum_up(
            self._slots(name, endpoints, now), service.admission.fill_limit.value
        )
        running = service.admission.demand(service.situation, now).running
        if running >= CALM_SHARE * service.capacity.slots:
            age_s = max(BUSY_AGE_S, AGE_PER_ENDPOINT_S * len(endpoints))
            service.expires_at = now + min(CALM_AGE_S, age_s)

    def _slots(
        self, name: str, endpoints: list[endpoint_state.Endpoint], now: float
    ) -> list[service_capacity.EndpointSlots]:
        directory_ = self._directory
        usable = {e.incarnation for e in directory_.usable(name, set())}
        reachable, _ = directory_.living(name, lambda e: True)
        reachable_names = {e.incarnation for e in reachable}
        slots = []
        for e in endpoints:
            is_avoided = e.is_suspected or directory_.is_ejected(e, now)
            is_usable = e.incarnation in usable and not is_avoided
            slots.append(
                service_capacity.EndpointSlots(
                    e.row.slots,
                    0 if is_usable else e.load,
                    e.pace.lasting,
                    is_usable,
                    e.incarnation in reachable_names,
                )
            )
        return slots


def workspace_name(call: gateway_call.Call) -> str:
    """Return the workspace whose share a call uses."""
    return call.workspace.name if call.workspace else NO_WORKSPACE


def _is_late(call: gateway_call.Call, admitted_at: float, now: float) -> bool | None:
    """Whether an answer missed its goal or its longest pause.

    :returns: ``None`` if the call ended before that is known.
    """
    if not call.first_write_at:
        return True if now - admitted_at > call.route.goal_s else None
    if call.first_write_at - admitted_at > call.route.goal_s:
        return True
    return bool(call.gap_goal_s) and call.longest_gap_s > call.gap_goal_s
