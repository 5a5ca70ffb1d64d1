"""A poison request, which ends each endpoint that begins to run it.

The story.  Callers were not served, or got answers that broke off, for minutes: of
nine model endpoints more than twenty ended one after the other, each some seconds after
it was back.

The order of events.  A request begins to run, its endpoint ends within a tenth of a
second.  Its gateway sends it to a second and a third one, which end as well.  The
caller sends it again, to another gateway, and all of it begins anew.  What ran beside
it is sent on to the endpoints that are left and ends there with them, or is refused as
the retry budget is used up.

The cause.  Nothing was kept of a request when its call was over, and nothing of it was
told: which endpoints a call may not ask again lived as long as the call.

The evidence.  In eight seconds of the recorded day's first play six requests of one
mark ended ten endpoints through all three gateways, seven of them after the third end
(45.2 s); one that waited 1.7 s in a queue ran and ended its endpoint 3.2 s after that.
At each of the ten ends the request had begun 35 to 120 ms before.  Of 126 requests that
were open beside it 9 were so at three ends and 32 at two, but none of them had begun
within the last quarter of a second at more than one.
"""

import pytest

from gaprock.test import poisoncase


@pytest.mark.parametrize("kind", ["gen", "safe"])
def test_a_poison_request_ends_three_endpoints_whichever_gateways_it_comes_through(
    kind: str,
) -> None:
    with poisoncase.Fleet(3, kind) as fleet:
        first = fleet.call(0, poisoncase.POISON)
        # It has run, so nothing is promised.
        assert first.status == 502 and "retry-after" not in first.headers
        fleet.let_tell()
        for number in [0, 1, 2] * 3:
            again = fleet.call(number, poisoncase.POISON)
            assert again.status == 503 and float(again.headers["retry-after"]) > 0
            assert fleet.call(number, b"another").status == 200
        assert len(fleet.service.ended) == 3
        assert len(fleet.service.arrivals) == 3
