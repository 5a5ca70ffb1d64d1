"""Measures what answers cost when model choice and cascades learn from ratings.

    python -m bench.cascade [--requests N]

Drives the cascade plug-ins as an entry does, with a seeded stream of requests.  The
rating of each request's answer under each version is drawn beforehand, so that an
oracle, which knows the ratings, gives a baseline.  Workspaces differ in how often the
cheap version suffices; over all of them it does for 60 of 100 requests.  The rating
service leaves a share of the answers unrated, and all of them in the last case.

Printed: the cost relative to the oracle's, the share of answers under the quality
target in the worst workspace, and the share of always-best's cost that was saved.

Not modelled: latency, prompts that show how difficult they are, wrong ratings.
"""

import argparse
import random
import typing

from gaprock import documents, plugin, policy_api

POLICIES: typing.Final = ("learned", "always-best", "always-cheapest", "fixed")
COSTS: typing.Final = (1.0, 10.0)
TARGET: typing.Final = 0.8
UNDER_TARGET: typing.Final = 0.05
# Shares of good answers of the cheap and the best version, by workspace.
WORKSPACES: typing.Final = {
    "easy": (0.97, 0.99),
    "middle": (0.6, 0.985),
    "hard": (0.23, 0.98),
}


class Case(typing.NamedTuple):
    """A case: whether requests can escalate, and the share of rated answers."""

    name: str
    can_escalate: bool
    rated_share: float


CASES: typing.Final = (
    Case("whole answers, all rated", True, 1.0),
    Case("whole answers, half rated", True, 0.5),
    Case("streams, all rated afterwards", False, 1.0),
    Case("whole answers, no ratings at all", True, 0.0),
)


class PolicyTotals:
    """The number of a workspace's requests, their cost, and how many were not good."""

    __slots__ = ("requests", "cost", "not_good")

    def __init__(self) -> None:
        self.requests = 0
        self.cost = 0.0
        self.not_good = 0


def template_of(workspace: str) -> documents.Template:
    """Return the template of a workspace."""
    versions = [
        documents.VersionChoice(name, cost)
        for name, cost in zip(("cheap@1", "best@1"), COSTS)
    ]
    return documents.Template(
        workspace, "t", versions, quality=TARGET, under_target=UNDER_TARGET
    )


def serve(
    cascade: policy_api.Cascade,
    template: documents.Template,
    good: dict[str, bool],
    case: Case,
    rng: random.Random,
) -> tuple[float, bool]:
    """Serve one request; return its cost and whether its answer is good.

    :param good: whether the answer of each version is good.
    """
    costs = {c.version: c.cost for c in template.versions}
    choice = cascade.choose(template, list(costs), case.can_escalate)
    assert choice is not None
    cost = 0.0
    for version in choice.versions:
        cost += costs[version]
        rating = None
        if rng.random() < case.rated_share:
            rating = 1.0 if good[version] else 0.0
            cascade.learn(template, version, rating)
        last = version == choice.versions[-1]
        if last or cascade.accept(template, version, rating):
            break
    return cost, good[version]


def run(
    policy: str, case: Case, requests: int
) -> tuple[dict[str, PolicyTotals], float]:
    """Run one policy; return the totals by workspace, and the oracle's cost."""
    rng = random.Random(5)
    cascade = plugin.find(policy_api.Cascade, policy)()
    names = list(WORKSPACES)
    templates = {name: template_of(name) for name in names}
    totals = {name: PolicyTotals() for name in names}
    oracle_cost = 0.0
    for _ in range(requests):
        name = rng.choice(names)
        good_shares = dict(zip(("cheap@1", "best@1"), WORKSPACES[name]))
        good = {
            version: rng.random() < chance for version, chance in good_shares.items()
        }
        oracle_cost += COSTS[0] if good["cheap@1"] or not good["best@1"] else COSTS[1]
        cost, is_good = serve(cascade, templates[name], good, case, rng)
        total = totals[name]
        total.requests += 1
        total.cost += cost
        total.not_good += not is_good
    return totals, oracle_cost


def main() -> None:
    """Run all cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=12_000)
    args = parser.parse_args()
    plugin.load_all()
    head = f"{'case':36}{'policy':18}{'cost/oracle':>12}{'worst under':>12}{'saved':>8}"
    print(head)
    for case in CASES:
        for policy in POLICIES:
            totals, oracle_cost = run(policy, case, args.requests)
            cost = sum(total.cost for total in totals.values())
            worst = max(total.not_good / total.requests for total in totals.values())
            saved = 1 - cost / (args.requests * COSTS[-1])
            figures = f"{cost / oracle_cost:12.3f}{worst:12.3f}{saved:8.2f}"
            print(f"{case.name:36}{policy:18}{figures}")


if __name__ == "__main__":
    main()
