"""Parses ``Retry-After`` headers: a number of seconds or a date."""

import datetime
import email.utils
import re
import typing

# Plain decimal digits, long enough for any meaningful number.
NUMBER: typing.Final = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
# Maximum length of an HTTP date in characters.
MAX_DATE: typing.Final = 40


def seconds(text: str, date: str = "") -> float | None:
    """Parse a delay.

    :param text: the value of the header.
    :param date: the ``Date`` header of the answer, from the same clock as a date in
        ``text``. If it is missing, the local clock is used.
    :returns: the delay in seconds; ``None`` if ``text`` is neither a number nor a date.
    """
    text = text.strip()
    if NUMBER.match(text):
        return float(text)
    retry_date = _date(text)
    if retry_date is None:
        return None
    reference = _date(date) or datetime.datetime.now(datetime.timezone.utc)
    return max(0.0, (retry_date - reference).total_seconds())


def _date(text: str) -> datetime.datetime | None:
    if len(text) > MAX_DATE:
        return None
    try:
        date = email.utils.parsedate_to_datetime(text)
    except ValueError:
        # Not a date; the caller reports the value.
        return None
    return date if date.tzinfo is not None else None
