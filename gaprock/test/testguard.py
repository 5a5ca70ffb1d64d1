"""A version that turns bad is halted, tested from entries to engines."""

from gaprock import agent_gate, documents, errorcodes, errors, messages
from gaprock.test import site


def call_until_halted(s: site.Site, version: str) -> None:
    """Send requests until the first entry halts a version."""

    def halted() -> bool:
        try:
            s.chat()
        except errors.GaprockError:
            pass
        return s.entries[0].config.halted(version)

    site.wait_until(halted, "halted")


def test_a_bad_version_is_halted_fleet_wide_while_the_table_is_down() -> None:
    with site.Site(versions="small@1+small@2") as s:
        s.start(agents=2, entries=2)
        s.publish(site.template("small@1", "small@2"))
        s.publish(documents.Rollout("small@2", "small@1", [1.0]))
        s.wait_in_force()
        s.platform.faults["down"] = True
        for fake in s.engines.values():
            fake.faults["bad"] = ["small@2"]
        call_until_halted(s, "small@2")
        site.wait_until(lambda: s.entries[1].config.halted("small@2"), "gossip")
        for entry in (0, 1):
            assert s.chat(entry).headers["X-Gaprock-Version"] == "small@1"
        s.platform.faults["down"] = False
        key = "config/doc/halted/small@2/1"
        site.wait_until(lambda: s.platform.value(key), "accepted")


def test_a_version_whose_ratings_drop_is_halted() -> None:
    with site.Site(versions="small@1+small@2") as s:
        s.platform.ratings = {"small@1": 0.9, "small@2": 0.9}
        s.start()
        s.publish(site.template("small@1", "small@2"))
        s.publish(documents.Rollout("small@2", "small@1", [1.0]))
        s.wait_in_force()
        assert s.chat().headers["X-Gaprock-Version"] == "small@2"
        s.platform.ratings["small@2"] = 0.1
        call_until_halted(s, "small@2")
        assert s.chat().headers["X-Gaprock-Version"] == "small@1"


def test_without_ratings_a_rollout_stands_still() -> None:
    with site.Site(versions="small@1+small@2") as s:
        s.platform.faults["rating_down"] = True
        s.start()
        s.publish(site.template("small@1", "small@2"))
        start = documents.Rollout("small@2", "small@1", [1.0, 1.0], answers_per_step=2)
        s.publish(start)
        s.wait_in_force()
        for _ in range(10):
            s.chat()
        duties = s.entries[0].duties
        site.wait_until(lambda: s.entries[0].lease.held, "lease")
        duties._advance_rollouts()
        assert s.entries[0].config.rollout("small@2") == start
        s.platform.faults["rating_down"] = False

        def advanced() -> bool:
            s.chat()
            rollout = s.entries[0].config.rollout("small@2")
            return rollout is not None and rollout.step == 1

        site.wait_until(advanced, "advanced on evidence")


def test_a_call_succeeds_when_the_only_agent_lags_for_a_moment() -> None:
    with site.Site() as s:
        s.start()
        agent = next(iter(s.agents.values()))
        refused: list[int] = []

        def check(start: messages.Start) -> agent_gate.Slot:
            if len(refused) < 3:
                refused.append(start.revision)
                raise errors.GaprockError(errorcodes.BEHIND, "it comes")
            return usual(start)

        usual, agent.gate._check = agent.gate._check, check  # type: ignore
        assert s.chat().status == 200
        assert len(refused) == 3
