"""Reports on logs: classification of requests, state changes and bad input."""

import pathlib
import typing

import pytest

from gaprock import ctl_main, ctl_report, logs, report, report_html, report_text

GATEWAY = "gateway-1"


def line(second: float, event: str, proc: str = GATEWAY, **fields: typing.Any) -> str:
    """Build a gateway's log line with the prefix that a log collector adds."""
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    stamp = f"2026-01-01T00:00:{second:06.3f}Z"
    return (
        f"  {second:.4f} {proc} ts={stamp} level=INFO proc={proc} event={event} {pairs}"
    )


def ended(
    second: float, request: str, result: str = "answered", **more: typing.Any
) -> str:
    fields: dict[str, typing.Any] = {
        "route": "r",
        "result": result,
        "sends": 1,
        "took_s": 1,
        "goal_s": 1,
    }
    return line(second, "request", request=request, **(fields | more))


def classified(*lines: str) -> report.ClassifiedRequest:
    found = report.Report(report.collect(lines))
    assert len(found.requests) == 1
    return found.requests[0]


def test_a_line_is_parsed_whatever_prefix_it_has() -> None:
    found = logs.parse(line(1.5, "repeat", reason='"status 500, \\"x\\""', sends=2))
    assert found is not None
    assert (found.process, found.event) == (GATEWAY, "repeat")
    assert found.fields["reason"] == 'status 500, "x"'
    assert found.number("sends") == 2
    assert logs.parse("Traceback (most recent call last):") is None
    assert logs.parse("ts=never proc=x event=y") is None


@pytest.mark.parametrize(
    ("lines", "outcome", "reason"),
    [
        ([ended(2, "a", first_s=0.5)], report.Outcome.IN_TIME, ""),
        (
            [ended(2, "a", "leaving", sends=0)],
            report.Outcome.REFUSED,
            "refused: leaving",
        ),
        (
            [
                line(1, "send-failed", request="a", detail="deadline"),
                ended(2, "a", "deadline-running"),
            ],
            report.Outcome.FAILED,
            "deadline-running: deadline",
        ),
        (
            [ended(2, "a", status=500)],
            report.Outcome.FAILED,
            "the endpoint's own failure",
        ),
        (
            [
                line(1, "route", request="a", unread=9000, reading=100),
                line(3, "model", request="a", confidence=90),
                ended(3, "a", first_s=2, took_s=2),
            ],
            report.Outcome.LATE,
            "late: the engine's queue",
        ),
        (
            [
                line(1, "route", request="a", unread=0, reading=100),
                line(3, "model", request="a", confidence=90),
                ended(3, "a", first_s=2, took_s=2),
            ],
            report.Outcome.LATE,
            "late: reading its own prompt",
        ),
        (
            [ended(2, "a", first_s=0.1, gap_s=2, gap_goal_s=0.5)],
            report.Outcome.LATE,
            "a pause between events",
        ),
        (
            [
                line(1, "model", request="a", confidence=20, climbs_left=1),
                ended(2, "a", first_s=0.5),
            ],
            report.Outcome.DOUBTFUL,
            "doubtful: a larger model would be late or hold up others",
        ),
        (
            [
                line(1, "stream-cut", request="a", detail="stuck"),
                ended(2, "a", first_s=0.5),
            ],
            report.Outcome.FAILED,
            "cut: stuck",
        ),
        (
            [
                line(1, "route", request="a", route="r"),
                line(3, "started"),
            ],
            report.Outcome.FAILED,
            "cut: its gateway was killed",
        ),
        (
            [line(1, "route", request="a", route="r")],
            report.Outcome.FAILED,
            "open when the log ends",
        ),
        ([ended(2, "a", "caller-gone")], report.Outcome.LEFT, "caller left"),
    ],
)
def test_each_outcome_has_its_reason(
    lines: list[str], outcome: report.Outcome, reason: str
) -> None:
    request = classified(*lines)
    assert (request.outcome, request.reason) == (outcome, reason)


def test_the_shares_of_the_reasons_add_up_to_all_that_were_not_in_time() -> None:
    found = report.Report(
        report.collect(
            [ended(n, f"a{n}", "leaving", sends=0) for n in range(3)]
            + [ended(5, "b", status=500), ended(6, "c", first_s=0.1)]
        )
    )
    assert sum(count for _, count in found.by_reason()) == 4
    text = report_text.render(found)
    assert "75.0%  refused: leaving" in text
    assert "25.0%  the endpoint's own failure" in text


def test_a_planned_stop_is_distinguished_from_a_kill() -> None:
    found = report.collect(
        [
            line(1, "stopped"),
            line(2, "started"),
            line(3, "leaving", proc="gateway-2"),
            line(4, "started", proc="gateway-2"),
        ]
    )
    assert [(d.process, d.planned) for d in found.downtimes] == [
        (GATEWAY, True),
        ("gateway-2", False),
    ]


def test_lines_that_cannot_be_parsed_are_counted_and_shown(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "one.log"
    log.write_text(f"garbage\n{ended(2, 'a', first_s=0.5)}\n\nmore garbage\n")
    assert ctl_main.main(["report", str(log)]) == ctl_report.EXIT_DONE
    text = capsys.readouterr().out
    assert "2 lines could not be read" in text
    assert "more garbage" in text
    assert "every request was answered in time" in text


def test_an_empty_log_and_a_missing_file_have_distinct_exit_codes(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "empty.log"
    log.write_text("")
    assert ctl_main.main(["report", str(log)]) == ctl_report.EXIT_EMPTY
    assert "no request in 0 lines" in capsys.readouterr().err
    assert ctl_main.main(["report", str(tmp_path / "none")]) == ctl_report.EXIT_USAGE


def test_the_html_page_is_self_contained_and_escaped(tmp_path: pathlib.Path) -> None:
    log, page = tmp_path / "one.log", tmp_path / "one.html"
    log.write_text(ended(2, "a<b", first_s=0.5) + "\n" + ended(3, "c", status=500))
    assert ctl_report.run([str(log)], str(page)) == ctl_report.EXIT_DONE
    text = page.read_text()
    assert text.count("<svg") == 2
    assert "src=" not in text
    assert "a&lt;b" in text


def test_a_missing_plotting_library_is_a_usage_error(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    def refuse(found: report.Report) -> str:
        raise report_html.PlotsUnavailable("pip install 'gaprock[plots]'")

    monkeypatch.setattr(report_html, "render", refuse)
    log = tmp_path / "one.log"
    log.write_text(ended(2, "a", first_s=0.5))
    assert ctl_report.run([str(log)], str(tmp_path / "p")) == ctl_report.EXIT_USAGE


def test_calls_to_the_store_are_counted_by_kind_table_and_interval() -> None:
    lines = [
        line(1, "store-call", kind="read", table="op", outcome="answered"),
        line(2, "store-call", proc="g2", kind="read", table="op", outcome="answered"),
        line(15, "store-call", kind="read", table="op", outcome="answered"),
        line(16, "store-call", kind="poll", table="servers", outcome="timeout"),
    ]
    found = report.Report(report.collect(lines))
    assert found.store_calls() == {
        "read op": {0.0: 2, 10.0: 1},
        "poll servers": {10.0: 1},
    }
    shown = [row.split() for row in report_text.render(found).splitlines()]
    assert ["read", "op", "3", "2", "1"] in shown
    assert ["poll", "servers", "1", "0", "1"] in shown


def test_halls_that_are_cordoned_and_uncordoned_are_listed() -> None:
    lines = [
        line(5.0 + 0.1 * number, "hall-emptied", f"gateway-{number}", hall="h1")
        for number in range(3)
    ]
    lines.append(line(9.0, "hall-back", hall="h1"))
    lines.append(line(30.0, "hall-emptied", hall="h1"))
    found = report.Report(report.collect(lines))
    changes = [(c.event, c.gateways, round(c.last - c.first, 1)) for c in found.halls()]
    assert changes == [
        ("hall-emptied", 3, 0.2),
        ("hall-back", 1, 0.0),
        ("hall-emptied", 1, 0.0),
    ]
    text = report_text.render(found)
    assert "h1  emptied, on 3 gateways within 0.2 s" in text
    assert "h1  taken back, on 1 gateways" in text


def test_rate_limits_are_listed_as_they_spread() -> None:
    lines = [
        line(
            5.0 + 0.1 * number,
            "endpoint-limited",
            f"gateway-{number}",
            endpoint="e",
            per_s=2.4,
        )
        for number in range(3)
    ]
    lines.append(line(9.0, "endpoint-unlimited", endpoint="e", per_s="none"))
    found = report.Report(report.collect(lines))
    changes = [(c.event, c.gateways, c.detail) for c in found.limits()]
    assert changes == [
        ("endpoint-limited", 3, "2.4"),
        ("endpoint-unlimited", 1, "none"),
    ]
    text = report_text.render(found)
    assert "takes 2.4 a second, on 3 gateways within 0.2 s" in text


def test_departures_and_backoffs_are_listed_as_they_spread() -> None:
    lines = [
        line(5.0, "endpoint-leaving", "gateway-0", endpoint="e", source="answer"),
        line(5.3, "endpoint-leaving", "gateway-1", endpoint="e", source="gateway-0"),
        line(6.0, "endpoint-backoff", "gateway-0", endpoint="f", for_s=3),
        line(9.5, "endpoint-backoff-over", "gateway-0", endpoint="f"),
    ]
    text = report_text.render(report.Report(report.collect(lines)))
    assert "e  leaves, on 2 gateways within 0.3 s" in text
    assert "f  backs off for 3 s, on 1 gateways" in text
    assert "f  takes load again, on 1 gateways" in text


def test_restores_of_the_store_are_listed_as_they_spread() -> None:
    lines = [
        line(5.0, "store-restored", "gateway-0", epoch=2, old=1, source="store"),
        line(5.4, "store-restored", "gateway-1", epoch=2, old=1, source="peer"),
    ]
    text = report_text.render(report.Report(report.collect(lines)))
    assert "2  follows epoch 1, on 2 gateways within 0.4 s" in text


def test_the_exposure_of_a_rollout_is_drawn_beside_what_is_allowed() -> None:
    exposed: dict[str, typing.Any] = {
        "service": "llm",
        "halted": False,
        "state": "running",
        "share": 0.075,
    }
    lines = [
        line(5.0, "rollout-ordered", service="llm", version="v2"),
        line(6.1, "rollout-exposure", sends=100, exposed=9, allowed=45, **exposed),
        line(6.2, "rollout-exposure", sends=90, exposed=8, allowed=43.5, **exposed),
        line(9.0, "rollout-exposure", sends=200, exposed=61, allowed=60, **exposed),
        line(9.5, "rollout-halted", service="llm", reason='"10 of 50 bad"'),
    ]
    text = report_text.render(report.Report(report.collect(lines)))
    assert "9 of 45 allowed, 100 sends, share 0.075, not halted, running" in text
    assert "8 of 44" not in text and "61 of 60 allowed ABOVE" in text
    assert "llm  halted at " in text and ": 10 of 50 bad" in text
