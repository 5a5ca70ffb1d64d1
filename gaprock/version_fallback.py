"""What requests get while no endpoint of their version is there.

Endpoints may be gone for a moment: they crash, or a restored store lacks their rows. A
version that is known to be bad is no substitute for such a moment, and neither does a
new one get more than its share. Requests are refused instead, and callers come back.
Only if the others stay away, or were never there, any version is better than none.
"""

import typing

from gaprock import clock, eventlog, rollout_state, version_roles

# Withdrawn versions are used once all others have been gone for this long.
GONE_S: typing.Final = 15.0

# Whether a service has an endpoint of a version that passes a test.
HasVersion = typing.Callable[[typing.Callable[[str], bool]], bool]


class Fallback:
    """Changes assignments that no endpoint fits; thread-safe."""

    __slots__ = ("_clock", "_roles", "_seen_at", "_active")

    def __init__(self, clock_: clock.Clock, roles: version_roles.VersionRoles) -> None:
        self._clock = clock_
        self._roles = roles
        # When a service was last seen with a version that is not known to be bad.
        self._seen_at: dict[str, float] = {}
        # Services that use any version.
        self._active: set[str] = set()

    def observe(self, service: str, ordered: str, versions: set[str]) -> None:
        """Record the versions that the endpoints of a service run.

        :param ordered: the version of the rollout; empty if there is none.
        """
        sound = versions.difference(self._roles.withdrawn(service), {ordered})
        if sound or self._roles.stable(service) in versions:
            self._seen_at[service] = self._clock.now()

    def apply(
        self,
        assignment: rollout_state.Assignment,
        has_version: HasVersion,
        is_bound: bool,
    ) -> rollout_state.Assignment:
        """Return an assignment that fits an endpoint, if there is any.

        :param is_bound: whether the session is on the ordered version and stays there.
        """
        rollout = assignment.rollout
        for option in self._options(assignment, is_bound):
            if has_version(option.takes):
                self._log_active(rollout.order.service, option.takes_any)
                return option
        return assignment

    def _options(
        self, assignment: rollout_state.Assignment, is_bound: bool
    ) -> typing.Iterator[rollout_state.Assignment]:
        yield assignment
        rollout = assignment.rollout
        is_running = rollout.state is rollout_state.State.RUNNING
        is_running = is_running and not rollout.halted
        if assignment.on_new and is_bound and is_running:
            return
        stable = self._roles.stable(rollout.order.service)
        is_other = stable and stable != rollout.order.to_version
        others = assignment._replace(on_new=False, stable=stable if is_other else "")
        yield others
        yield others._replace(stable="")
        now = self._clock.now()
        if now < self._seen_at.get(rollout.order.service, -clock.NEVER) + GONE_S:
            return
        if is_running and not rollout.is_over(now):
            if not is_other:
                # There is no other version to compare it with.
                yield assignment._replace(on_new=True)
            return
        yield assignment._replace(takes_any=True)

    def _log_active(self, service: str, is_active: bool) -> None:
        """Log when the use of any version begins or ends."""
        if is_active == (service in self._active):
            return
        if is_active:
            self._active.add(service)
        else:
            self._active.discard(service)
        eventlog.warning("version-last-resort", service=service, active=is_active)
