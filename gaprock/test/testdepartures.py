"""Endpoints that say in their answers that they leave."""

import pytest

from gaprock.test import limitcase

KINDS = pytest.mark.parametrize("kind", ["safe", "gen"])


# -- The whole path --


@KINDS
def test_no_request_reaches_an_endpoint_that_said_it_leaves_while_its_row_does_not(
    kind: str,
) -> None:
    with limitcase.Fleet(3, kind) as fleet:
        # Models climb: each request is two sends.
        fleet.endpoints[0].confidence = "5"
        fleet.press([0, 1, 2], 0.3)
        leaving = fleet.endpoints[0]
        leaving.is_leaving = True
        drain_s = fleet.site.cfg.bounds.drain_s
        statuses = fleet.press([0, 0, 1, 2], drain_s + 1.5)
        told_at = leaving.said_at
        assert told_at < float("inf")
        assert leaving.between(told_at + drain_s, float("inf")) == 0
        assert set(statuses) == {200}
