"""An engine that sheds load gets no requests until the backoff it asked for is over."""

import pytest

from gaprock import errorcodes, errors
from gaprock.test import site


def shed(s: site.Site, name: str, **faults: object) -> None:
    s.engines[name].faults |= {"refuse": True, **faults}


def test_an_engine_that_sheds_load_gets_no_requests_in_its_backoff() -> None:
    with site.Site() as s:
        s.start()
        shed(s, "a", retry_after="5")
        for _ in range(10):
            with pytest.raises(errors.GaprockError) as caught:
                s.chat()
            assert caught.value.not_run
            assert caught.value.retry_at
        assert s.engines["a"].refused == 1
        assert s.agents["a"].gate.slots["a"].versions == []


def test_an_engine_is_used_again_after_its_backoff() -> None:
    with site.Site() as s:
        s.start()
        shed(s, "a", retry_after="0.3")
        with pytest.raises(errors.GaprockError):
            s.chat()
        s.engines["a"].faults.clear()
        slot = s.agents["a"].gate.slots["a"]
        site.wait_until(lambda: slot.versions, "its backoff is over")
        site.wait_until(lambda: _serves(s), "it serves")


def _serves(s: site.Site) -> bool:
    try:
        s.chat()
    except errors.GaprockError as exc:
        assert exc.not_run
        return False
    return True


@pytest.mark.parametrize("text", ["soon", "-1", "nan", "1e400", "", "9" * 1000])
def test_an_invalid_retry_after_is_still_a_refusal(text: str) -> None:
    with site.Site() as s:
        s.start()
        shed(s, "a", retry_after=text)
        with pytest.raises(errors.GaprockError) as caught:
            s.chat()
        assert caught.value.code is errorcodes.ENDPOINT_REFUSED
