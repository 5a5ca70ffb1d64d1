"""Chooses the service of a call's route, and the endpoint of each send."""

import random
import typing

from gaprock import (
    clock,
    directory,
    directory_paces,
    directory_rows,
    endpoint_held,
    endpoint_index,
    endpoint_state,
    eventlog,
    gateway_call,
    messages,
    policy_api,
    prefix_cache,
    rate_pacing,
    rollout_state,
    rollouts,
    routes,
)

# Probability with which a repeatable request is sent to an endpoint that likely fails,
# as a probe that detects its recovery.
PROBE_CHANCE: typing.Final = 0.05
# Weight of a new prompt in the moving average of prompt lengths.
MEAN_WEIGHT: typing.Final = 0.05


# The endpoint of a send, and the prefill work of the prompt there.
Choice = tuple[endpoint_state.Endpoint, endpoint_state.Prompt]


class _EndpointSets(typing.NamedTuple):
    """The endpoints that are considered for a send.

    :param usable: those that may get a request now.
    :param fitting: those among them that may get this request.
    :param paced: those that may get this request later, because of their rate limits.
    """

    usable: list[endpoint_state.Endpoint]
    fitting: list[endpoint_state.Endpoint]
    paced: list[endpoint_state.Endpoint]


class Chooser:
    """Chooses services and endpoints; thread-safe.

    :param hall: the hall of this gateway.
    :param services: returns the services of the configuration in force, by name.
    :param regions: returns the region of each hall, by hall name.
    """

    def __init__(
        self,
        hall: str,
        clock_: clock.Clock,
        directory_: directory.Directory,
        rollouts_: rollouts.Rollouts,
        routing: policy_api.Routing,
        services: typing.Callable[[], dict[str, routes.Service]],
        regions: typing.Callable[[], dict[str, str]] = dict,
    ) -> None:
        self._hall = hall
        self._clock = clock_
        self._directory = directory_
        self._rollouts = rollouts_
        self._routing = routing
        self._services = services
        self._regions = regions
        self._rng = random.Random()
        # Mean prompt length by service, in tokens of the largest model.
        self._mean_prompt: dict[str, float] = {}

    def service(self, route: routes.Route) -> str:
        """Choose the service of a request at random, by the weights of its route."""
        pools = [pool for pool in route.pools if pool.weight > 0]
        if len(pools) <= 1:
            return (pools or route.pools)[0].service
        weights = [pool.weight for pool in pools]
        return self._rng.choices(pools, weights)[0].service

    def endpoint(self, call: gateway_call.Call, model: str) -> Choice | None:
        """Choose the endpoint of the next send; ``None`` if there is none.

        :param model: the model to ask; empty for the model that the caller named.
        """
        now = self._clock.now()
        usable, fitting, paced = self._endpoint_sets(call)
        good = [e for e in fitting if not self._is_avoided(call, e, now)]
        service = self._services().get(call.service)
        weight = self._directory.pace.weight(service, model) if service else 0.0
        whole = weight * call.info.tokens_in
        mean = self._mean_prompt.get(call.service, whole)
        self._mean_prompt[call.service] = mean + MEAN_WEIGHT * (whole - mean)
        hashes = prefix_cache.prefix_hashes(model, call.info.parts) if weight else []
        tokens = call.info.tokens_in
        prompts = {e.name: e.prompt(hashes, tokens, weight) for e in fitting + paced}
        is_short = call.route.kind is not routes.RouteKind.STREAM
        chosen = self._best(good or fitting, prompts, mean, is_short)
        if paced:
            self._record_paced(call, chosen, paced, prompts, mean, is_short)
        if chosen is None:
            return None
        prompt = prompts[chosen.name]
        if call.is_in_session:
            version = chosen.row.version
            self._rollouts.record_session(call.service, call.session, version)
        eventlog.info(
            "route",
            request=call.info.request,
            route=call.route.name,
            service=call.service,
            config=call.config_number,
            usable=len(usable),
            fitting=len(fitting),
            good=len(good),
            choice=chosen.name,
            version=chosen.row.version,
            session=gateway_call.session_hash(call),
            load=chosen.load,
            unread=self._directory.unread(chosen),
            reading=prompt.prefill_tokens,
            whole=whole,
            heard_s=now - chosen.last_seen_at,
            **self._directory.pace_facts(chosen, now),
        )
        return chosen, prompt

    def has_other(
        self, call: gateway_call.Call, endpoint: endpoint_state.Endpoint
    ) -> bool:
        """Whether another endpoint may get a call now."""
        fitting = self._endpoint_sets(call).fitting
        return any(e.incarnation != endpoint.incarnation for e in fitting)

    def _record_paced(
        self,
        call: gateway_call.Call,
        chosen: endpoint_state.Endpoint | None,
        paced: list[endpoint_state.Endpoint],
        prompts: dict[str, endpoint_state.Prompt],
        mean: float,
        is_short: bool,
    ) -> None:
        """Log and record the best endpoint if only its rate limit ruled it out."""
        endpoints = ([chosen] if chosen else []) + paced
        best = self._best(endpoints, prompts, mean, is_short)
        if best is None or best is chosen:
            return
        self._directory.pacer.note_wanted(best)
        eventlog.info(
            "send-paced",
            request=call.info.request,
            endpoint=best.name,
            instead=chosen.name if chosen else "none",
            next_s=self._directory.pacer.turn(best).next_at - self._clock.now(),
        )

    def _endpoint_sets(self, call: gateway_call.Call) -> "_EndpointSets":
        """Return the endpoints to consider for a call."""
        assignment = self._assignment(call)
        fits = self._fits(call, assignment)
        # The canary's share of endpoints is a share of all of them, so all are
        # considered.
        is_canary = assignment is not None and self._rollouts.is_canary_limited(
            assignment
        )
        around = directory_rows.CandidateScope(self._hall, call.place, fits)
        usable = self._directory.usable(
            call.service, call.excluded, None if is_canary else around, fits
        )
        fitting = [e for e in usable if fits(e)]
        if call.inbound.holding is not None:
            size = len(call.inbound.body)
            if size >= endpoint_held.LARGE_BODY:
                fitting = self._accepting(call, fitting, size)
        narrowed = self._rollouts.allowed_endpoints(
            assignment,
            [e.name for e in fitting],
            [e.name for e in fitting if e.row.hall == self._hall],
        )
        paced = self._directory.paced(call.service, call.excluded)
        return _EndpointSets(
            usable,
            [e for e in fitting if e.name in narrowed],
            [e for e in paced if fits(e)],
        )

    def _assignment(self, call: gateway_call.Call) -> rollout_state.Assignment | None:
        """Return the assignment of a call's session; ``None`` if any version fits."""
        assignment = self._rollouts.assignment(
            call.service, call.session, call.is_in_session
        )
        if assignment is None:
            return None
        return self._rollouts.fallback.apply(
            assignment,
            lambda takes: self._directory.has_version(call.service, takes),
            call.is_in_session
            and self._rollouts.is_on_ordered(call.service, call.session),
        )

    def _accepting(
        self,
        call: gateway_call.Call,
        endpoints: list[endpoint_state.Endpoint],
        size: int,
    ) -> list[endpoint_state.Endpoint]:
        """Return the endpoints that have room for a large request."""
        found = self._directory.accepting(endpoints, size)
        if len(found) < len(endpoints):
            eventlog.info(
                "endpoints-full",
                request=call.info.request,
                bytes=size,
                fitting=len(endpoints),
                accepting=len(found),
            )
        return found

    def _fits(
        self, call: gateway_call.Call, assignment: rollout_state.Assignment | None
    ) -> endpoint_index.Test:
        """Return a test for endpoints that may run a call, now or later."""
        is_region_bound = bool(call.route.regions or _own_regions(call))

        def fits(e: endpoint_state.Endpoint) -> bool:
            takes = assignment is None or assignment.takes(e.row.version)
            return takes and (not is_region_bound or self._may_run_in(call, e.row.hall))

        return fits

    def turn(self, call: gateway_call.Call) -> rate_pacing.Turn | None:
        """Return when the endpoints that may run a call accept the next send.

        :returns: ``None`` if there is no such endpoint, or if one has no rate limit.
        """
        assignment = self._assignment(call)
        fits = self._fits(call, assignment)
        known = self._directory.turns(call.service, call.excluded)
        turns = [turn for endpoint, turn in known if fits(endpoint)]
        next_at = min((turn.next_at for turn in turns), default=-clock.NEVER)
        if next_at == rate_pacing.ANY_TIME.next_at:
            return None
        return rate_pacing.Turn(next_at, sum(turn.per_s for turn in turns))

    def count_reachable(self, call: gateway_call.Call) -> tuple[int, int]:
        """Count the endpoints that may run a call.

        :returns: the number of those that are reachable, and of all of them.
        """
        assignment = self._assignment(call)
        living, count = self._directory.living(
            call.service, self._fits(call, assignment)
        )
        return len(living), count

    def has_no_permitted_hall(self, call: gateway_call.Call) -> bool:
        """Whether all endpoints are in halls where a call may not run.

        In this case there is no point in waiting for an endpoint.
        """
        halls = self._directory.halls_of(call.service)
        open_halls = halls - self._directory.cordoned
        return bool(halls) and not any(self._may_run_in(call, h) for h in open_halls)

    def _may_run_in(self, call: gateway_call.Call, hall: str) -> bool:
        """Whether a call's route and its workspace both allow the region of a hall."""
        region = self._regions().get(hall, "")
        allowed_regions = (call.route.regions, _own_regions(call))
        return all(not regions or region in regions for regions in allowed_regions)

    def record_end(self, call: gateway_call.Call) -> None:
        """Record the end of a call; its session is idle from now on."""
        if call.is_in_session:
            self._rollouts.record_session_end(call.service, call.session)

    def _is_avoided(
        self, call: gateway_call.Call, endpoint: endpoint_state.Endpoint, now: float
    ) -> bool:
        if endpoint.is_suspected:
            return not self._may_probe(call)
        if not self._directory.is_ejected(endpoint, now):
            # The first request after an ejection is a probe. It must be one that
            # may be repeated.
            return bool(endpoint.ejected_until) and not call.route.repeatable
        if now < endpoint.ejected_until or endpoint.probe_in_flight:
            return True
        return not self._may_probe(call)

    def _may_probe(self, call: gateway_call.Call) -> bool:
        """Whether a call is one of the few that probe an endpoint that likely fails."""
        return call.route.repeatable and self._rng.random() < PROBE_CHANCE

    def _best(
        self,
        endpoints: list[endpoint_state.Endpoint],
        prompts: dict[str, endpoint_state.Prompt],
        mean_prompt: float,
        is_short: bool,
    ) -> endpoint_state.Endpoint | None:
        """Return the endpoint that the routing policy chooses.

        :param is_short: whether the answer takes less than a transient slowdown.
        """
        by_name = {e.name: e for e in endpoints}
        mean = max(1.0, mean_prompt)
        unread_tokens = self._directory.unread_tokens(endpoints)
        paces = self._directory.paces(endpoints)
        own_load = 1.0 if self._directory.has_peer_loads else 0.0
        candidates = [
            self._candidate(e, prompts[e.name], unread, mean, pace, is_short, own_load)
            for e, unread, pace in zip(endpoints, unread_tokens, paces)
        ]
        chosen = self._routing.choose(candidates, self._rng)
        return None if chosen is None else by_name[chosen.name]

    def _candidate(
        self,
        endpoint: endpoint_state.Endpoint,
        prompt: endpoint_state.Prompt,
        unread: float,
        mean_prompt: float,
        paces: directory_paces.Paces,
        is_short: bool,
        own_load: float,
    ) -> policy_api.Candidate:
        """Build the routing plug-in's view of an endpoint.

        All requests count as running, since endpoints do not report queues to gateways.
        """
        load = endpoint.load
        return policy_api.Candidate(
            agent="",
            load=messages.EndpointLoad(
                endpoint=endpoint.name,
                kind="",
                versions=[],
                running=load,
                queued=0,
                limit=endpoint.row.slots,
                reported=load,
                service_s=0.0,
            ),
            sent_since=0,
            same_hall=endpoint.row.hall == self._hall,
            holds_prefix=False,
            unread=(unread + prompt.prefill_tokens) / mean_prompt,
            cached=prompt.cached,
            pace=paces.current if is_short else paces.lasting,
            first_pace=paces.current,
            own_load=own_load,
        )


def _own_regions(call: gateway_call.Call) -> frozenset[str]:
    """Return the regions that a call's workspace allows; empty if it allows all."""
    return call.workspace.regions if call.workspace else frozenset()
