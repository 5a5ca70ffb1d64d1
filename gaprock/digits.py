"""Decimal numbers in texts of others: headers, events, addresses.

``str.isdigit`` accepts superscripts and digits of other scripts, which ``int`` refuses
or takes for the same numbers, and ``int`` refuses thousands of digits.
"""

import typing

# No number that is read here has more digits.
MAX_DIGITS: typing.Final = 18


def parse(text: str | bytes) -> int | None:
    """Return the number in a text of ASCII digits; ``None`` if it is anything else."""
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
