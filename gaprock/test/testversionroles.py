"""What each version of a service counts as, whatever orders, outcomes and rows come."""

import pytest

from gaprock import version_sends


def test_sends_are_logged_by_what_their_version_counted_as(
    caplog: pytest.LogCaptureFixture,
) -> None:
    sends = version_sends.VersionSends()
    with caplog.at_level("INFO"):
        for _ in range(2):
            sends.record("llm", "v1", "other")
            sends.log()
        assert "version-sends" not in caplog.text
        sends.record("llm", "v1", "ordered")
        sends.record("llm", "v2", "withdrawn")
        sends.log()
    assert "v1=ordered:1 v2=withdrawn:1" in caplog.text
    assert sends.totals() == {
        ("llm", "other"): 2,
        ("llm", "ordered"): 1,
        ("llm", "withdrawn"): 1,
    }
