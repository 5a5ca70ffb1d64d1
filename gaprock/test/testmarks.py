"""Fingerprints are equal for tries of one request, and differ for other requests."""

import pytest

from gaprock import request_fingerprint


def test_only_host_path_caller_and_body_make_the_fingerprint() -> None:
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
        # The same bytes, split differently between the fields.
        ("ws", "host.example/", "gen/1", b"body"),
        ("ws", "host.example", "/gen/", b"1body"),
    ]
    fingerprints = {
        request_fingerprint.fingerprint_of(*other) for other in [first, *others]
    }
    assert len(fingerprints) == 1 + len(others)
    assert all(0 <= fingerprint < 2**64 for fingerprint in fingerprints)


@pytest.mark.parametrize("caller", ["", "k" * 64, "k" * 65, "k" * 5000, "Lạc Hồng"])
def test_any_caller_gets_a_fingerprint(caller: str) -> None:
    fingerprint = request_fingerprint.fingerprint_of(caller, "h", "/p", b"")
    assert fingerprint != request_fingerprint.fingerprint_of(
        caller + "x", "h", "/p", b""
    )
