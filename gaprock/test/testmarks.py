"""A request's mark: alike for its tries, unlike for all else."""

import pytest

from gaprock import request_fingerprint


def test_only_host_path_caller_and_body_make_the_mark() -> None:
    first = ("ws", "host.example", "/gen/1", b"body")
    assert request_fingerprint.fingerprint_of(
        *first
    ) == request_fingerprint.fingerprint_of(*first)
    others = [
        ("other", "host.example", "/gen/1", b"body"),
        ("", "host.example", "/gen/1", b"body"),
        ("ws", "other.example", "/gen/1", b"body"),
        ("ws", "host.example", "/gen/2", b"body"),
        ("ws", "host.example", "/gen/1", b"bodies"),
        ("ws", "host.example", "/gen/1", b""),
        # The same bytes, divided otherwise.
        ("ws", "host.example/", "gen/1", b"body"),
        ("ws", "host.example", "/gen/", b"1body"),
    ]
    marks = {request_fingerprint.fingerprint_of(*other) for other in [first, *others]}
    assert len(marks) == 1 + len(others)
    assert all(0 <= mark < 2**64 for mark in marks)


@pytest.mark.parametrize("caller", ["", "k" * 64, "k" * 65, "k" * 5000, "Lạc Hồng"])
def test_any_caller_has_marks(caller: str) -> None:
    mark = request_fingerprint.fingerprint_of(caller, "h", "/p", b"")
    assert mark != request_fingerprint.fingerprint_of(caller + "x", "h", "/p", b"")
