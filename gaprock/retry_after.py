"""Reads ``Retry-After``: seconds or a date."""

import datetime
import email.utils
import re
import typing

# Plain decimal digits, no longer than any number that means something.
NUMBER: typing.Final = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
# An HTTP date is no longer, characters.
MAX_DATE: typing.Final = 40


def seconds(text: str, date: str = "") -> float | None:
    """Read a time to wait.

    :param date: the answer's own date, by the same clock as the one to wait for.
    :returns: seconds; ``None`` for what is neither a number nor a date.
    """
    text = text.strip()
    if NUMBER.match(text):
        return float(text)
    until = _date(text)
    if until is None:
        return None
    since = _date(date) or datetime.datetime.now(datetime.timezone.utc)
    return max(0.0, (until - since).total_seconds())


def _date(text: str) -> datetime.datetime | None:
    if len(text) > MAX_DATE:
        return None
    try:
        date = email.utils.parsedate_to_datetime(text)
    except ValueError:
        # No date; the caller reports what it is.
        return None
    return date if date.tzinfo is not None else None
