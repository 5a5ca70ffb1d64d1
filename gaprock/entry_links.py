"""All links of an entry: who is a member, and who may get a request."""

import collections
import threading
import typing

from gaprock import entry_link, eventlog, messages, policy_api, services_api

AGENT_ROLE: typing.Final = "agent"
LIVE: typing.Final = "live"
# A link that the VM list no longer names is closed after this silence, seconds.
FORGET_S: typing.Final = 30.0
# Prompt prefixes that are remembered with their endpoint.
MAX_PREFIXES: typing.Final = 20_000


class Links:
    """The links, by address; safe for all threads."""

    __slots__ = ("shared", "_lock", "_links", "_static", "_prefixes")

    def __init__(self, shared: entry_link.Shared) -> None:
        self.shared = shared
        self._lock = threading.Lock()
        self._links: dict[str, entry_link.AgentLink] = {}
        self._static = set(shared.cfg.agents)
        # The endpoint that last got each prompt prefix.
        self._prefixes: collections.OrderedDict[str, str] = collections.OrderedDict()

    def start(self) -> None:
        """Connect to the agents that are known from the settings."""
        for address in self._static:
            self._connect(address)

    def stop(self) -> None:
        """Close all links."""
        for link in self.all():
            link.stop()

    def all(self) -> list[entry_link.AgentLink]:
        """Give all links."""
        with self._lock:
            return list(self._links.values())

    def get(self, address: str) -> entry_link.AgentLink | None:
        """Find the link to an address."""
        return self._links.get(address)

    def follow(self, vms: list[services_api.Vm]) -> None:
        """Take a reading of the VM list."""
        listed = {vm.address: vm for vm in vms if vm.role == AGENT_ROLE}
        for address, vm in listed.items():
            link = self._links.get(address) or self._connect(address)
            leaving = vm.state != LIVE
            if leaving != link.vm_leaving:
                eventlog.info("vm-state", address=address, leaving=leaving)
            link.vm_leaving = leaving
        for link in self.all():
            if link.address not in listed and link.address not in self._static:
                self._drop_if_silent(link)

    def broadcast(self) -> None:
        """Send the configuration to every agent that lacks some of it."""
        for link in self.all():
            link.push_config()

    def with_endpoint(self, endpoint: str) -> entry_link.AgentLink | None:
        """Find the live link whose agent stands before an endpoint."""
        for link in self.all():
            if link.live and link.report is not None:
                if any(e.endpoint == endpoint for e in link.report.endpoints):
                    return link
        return None

    def endpoints(self) -> list[messages.EndpointLoad]:
        """Give the loads of all endpoints that may get new work."""
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
        """Give the endpoints that could run a version now."""
        found = []
        holder = self._prefixes.get(prefix, "")
        for link in self.all():
            if not link.usable or link.report is None:
                continue
            near = link.report.hall == self.shared.cfg.hall
            for load in link.report.endpoints:
                if self._serves(load, version, excluded):
                    sent = link.sent_since(load.endpoint)
                    holds = load.endpoint == holder
                    found.append(
                        policy_api.Candidate(link.address, load, sent, near, holds)
                    )
        return found

    def note_prefix(self, prefix: str, endpoint: str) -> None:
        """Remember which endpoint got a prompt prefix."""
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

    def _drop_if_silent(self, link: entry_link.AgentLink) -> None:
        """Close a link to a VM that is gone."""
        link.vm_leaving = True
        if self.shared.clock.now() - link.heard_at < FORGET_S:
            return
        with self._lock:
            del self._links[link.address]
        link.stop()
        eventlog.info("link-closed", address=link.address)
