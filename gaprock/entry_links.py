"""All links of an entry: the known agents and the candidates for a request."""

import collections
import threading
import typing

from gaprock import entry_link, eventlog, messages, policy_api, services_api

AGENT_ROLE: typing.Final = "agent"
LIVE: typing.Final = "live"
# A link to an agent that is off the VM list is closed after silence of this length.
UNLISTED_TIMEOUT_S: typing.Final = 30.0
# Prompt prefixes whose last endpoint is remembered.
MAX_PREFIXES: typing.Final = 20_000


class Links:
    """The links, by address; thread-safe."""

    __slots__ = ("shared", "_lock", "_links", "_static", "_prefixes")

    def __init__(self, shared: entry_link.SharedState) -> None:
        self.shared = shared
        self._lock = threading.Lock()
        self._links: dict[str, entry_link.AgentLink] = {}
        self._static = set(shared.cfg.agents)
        # The endpoint to which each prompt prefix was last sent.
        self._prefixes: collections.OrderedDict[str, str] = collections.OrderedDict()

    def start(self) -> None:
        """Connect to the agents named in the settings."""
        for address in self._static:
            self._connect(address)

    def stop(self) -> None:
        """Close all links."""
        for link in self.all():
            link.stop()

    def end_attempts(self, why: str) -> None:
        """Fail the attempts in progress at all agents."""
        for link in self.all():
            link.end_attempts(why)

    def all(self) -> list[entry_link.AgentLink]:
        """Return all links."""
        with self._lock:
            return list(self._links.values())

    def get(self, address: str) -> entry_link.AgentLink | None:
        """Return the link to an address, if there is one."""
        return self._links.get(address)

    def apply_vm_list(self, vms: list[services_api.Vm]) -> None:
        """Open, mark and close links according to the VM list."""
        listed = {vm.address: vm for vm in vms if vm.role == AGENT_ROLE}
        for address, vm in listed.items():
            link = self._links.get(address) or self._connect(address)
            leaving = vm.state != LIVE
            if leaving != link.vm_leaving:
                eventlog.info("vm-state", address=address, leaving=leaving)
            link.vm_leaving = leaving
        for link in self.all():
            if link.address not in listed and link.address not in self._static:
                self._close_if_silent(link)

    def broadcast(self) -> None:
        """Send to each agent the part of the configuration that it lacks."""
        for link in self.all():
            link.push_config()

    def find_by_endpoint(self, endpoint: str) -> entry_link.AgentLink | None:
        """Return the live link to the agent that serves an endpoint."""
        for link in self.all():
            if link.live and link.report is not None:
                if any(e.endpoint == endpoint for e in link.report.endpoints):
                    return link
        return None

    def endpoints(self) -> list[messages.EndpointLoad]:
        """Return the loads of all endpoints that may get new requests."""
        return [
            load
            for link in self.all()
            if link.usable and link.report is not None
            for load in link.report.endpoints
            if not self.shared.config.draining(load.endpoint)
        ]

    def candidates(
        self, version: str, prefix: str, excluded: set[str]
    ) -> list[policy_api.Candidate]:
        """Return the endpoints that could run a version now."""
        found = []
        prefix_holder = self._prefixes.get(prefix, "")
        for link in self.all():
            if not link.usable or link.report is None:
                continue
            in_same_hall = link.report.hall == self.shared.cfg.hall
            for load in link.report.endpoints:
                if self._serves(load, version, excluded):
                    sent = link.sent_since(load.endpoint)
                    has_prefix = load.endpoint == prefix_holder
                    found.append(
                        policy_api.Candidate(
                            link.address, load, sent, in_same_hall, has_prefix
                        )
                    )
        return found

    def record_prefix(self, prefix: str, endpoint: str) -> None:
        """Record the endpoint to which a prompt prefix was sent."""
        with self._lock:
            self._prefixes[prefix] = endpoint
            self._prefixes.move_to_end(prefix)
            if len(self._prefixes) > MAX_PREFIXES:
                self._prefixes.popitem(last=False)

    def _serves(
        self, load: messages.EndpointLoad, version: str, excluded: set[str]
    ) -> bool:
        if version not in load.versions or load.endpoint in excluded:
            return False
        return not self.shared.config.draining(load.endpoint)

    def _connect(self, address: str) -> entry_link.AgentLink:
        link = entry_link.AgentLink(self.shared, address)
        with self._lock:
            self._links[address] = link
        link.start()
        eventlog.info("link-opened", address=address)
        return link

    def _close_if_silent(self, link: entry_link.AgentLink) -> None:
        """Stop using a link to an unlisted VM; close it after a silence."""
        link.vm_leaving = True
        if self.shared.clock.now() - link.last_seen_at < UNLISTED_TIMEOUT_S:
            return
        with self._lock:
            del self._links[link.address]
        link.stop()
        eventlog.info("link-closed", address=link.address)
