"""Cost at the quality target: cascades and direct choice learned from ratings.

    python -m bench.cascade [--requests N]

Drives the cascade plug-ins as an entry does, with a seeded stream of requests whose
rating under each version is drawn beforehand, so that an oracle can choose with
knowledge of each answer's rating.  Workspaces differ in how often the cheap version
suffices; on the mix it suffices for 60 of 100.  The rating service gives no rating
for a share of the answers, and none at all in the last case.

Printed: cost per request over the oracle's, share of answers under the target in the
worst workspace, and what was saved of always-best's cost.

Not modelled: latency, prompts that tell how hard they are, ratings that are wrong.
"""

import argparse
import random
import typing

from gaprock import documents, plugin, policy_api

POLICIES: typing.Final = ("learned", "always-best", "always-cheapest", "fixed")
COSTS: typing.Final = (1.0, 10.0)
TARGET: typing.Final = 0.8
UNDER_TARGET: typing.Final = 0.05
# How often the cheap and the best version's answers are good, by workspace.
WORKSPACES: typing.Final = {
    "easy": (0.97, 0.99),
    "middle": (0.6, 0.985),
    "hard": (0.23, 0.98),
}


class Case(typing.NamedTuple):
    """Whether requests can climb, and the share of answers that get a rating."""

    name: str
    can_escalate: bool
    rated: float


CASES: typing.Final = (
    Case("whole answers, all rated", True, 1.0),
    Case("whole answers, half rated", True, 0.5),
    Case("streams, all rated afterwards", False, 1.0),
    Case("whole answers, no ratings at all", True, 0.0),
)


class Bill:
    """What a workspace's requests cost and how many missed the target."""

    __slots__ = ("requests", "cost", "under")

    def __init__(self) -> None:
        self.requests = 0
        self.cost = 0.0
        self.under = 0


def template_of(workspace: str) -> documents.Template:
    """Give a workspace's template."""
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
    """Serve one request; give its cost and whether its answer is good."""
    costs = {c.version: c.cost for c in template.versions}
    choice = cascade.choose(template, list(costs), case.can_escalate)
    assert choice is not None
    cost = 0.0
    for version in choice.versions:
        cost += costs[version]
        rating = None
        if rng.random() < case.rated:
            rating = 1.0 if good[version] else 0.0
            cascade.learn(template, version, rating)
        last = version == choice.versions[-1]
        if last or cascade.accept(template, version, rating):
            break
    return cost, good[version]


def run(policy: str, case: Case, requests: int) -> tuple[dict[str, Bill], float]:
    """Run one policy; give the bills, and the oracle's cost."""
    rng = random.Random(5)
    cascade = plugin.find(policy_api.Cascade, policy)()
    names = list(WORKSPACES)
    templates = {name: template_of(name) for name in names}
    bills = {name: Bill() for name in names}
    oracle = 0.0
    for _ in range(requests):
        name = rng.choice(names)
        chances = dict(zip(("cheap@1", "best@1"), WORKSPACES[name]))
        good = {version: rng.random() < chance for version, chance in chances.items()}
        oracle += COSTS[0] if good["cheap@1"] or not good["best@1"] else COSTS[1]
        cost, is_good = serve(cascade, templates[name], good, case, rng)
        bill = bills[name]
        bill.requests += 1
        bill.cost += cost
        bill.under += not is_good
    return bills, oracle


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
            bills, oracle = run(policy, case, args.requests)
            cost = sum(bill.cost for bill in bills.values())
            worst = max(bill.under / bill.requests for bill in bills.values())
            saved = 1 - cost / (args.requests * COSTS[-1])
            figures = f"{cost / oracle:12.3f}{worst:12.3f}{saved:8.2f}"
            print(f"{case.name:36}{policy:18}{figures}")


if __name__ == "__main__":
    main()
