"""How long a gateway takes to decode the rows of all endpoints at a start.

    python -m bench.rows [--endpoints N]

The best of many rounds is printed, since whatever else the machine does adds to it.
600 rows took 1.04 ms before rows of other writers were told apart, and 1.33 ms with it:
the address is checked, and three fields have bounds or names.
"""

import argparse
import timeit
import typing

import msgspec

from gaprock.platform import documents

ROUNDS: typing.Final = 150


def row(number: int) -> bytes:
    """Write a row as an endpoint does."""
    doc = {
        "Service": "llm",
        "Addr": f"10.128.{number // 250}.{number % 250}:8080",
        "Zone": "h1",
        "Version": "v1",
        "Slots": 128,
        "State": "ready",
        "ColdMs": 0,
        "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
        "Seq": number,
    }
    return msgspec.json.encode(doc)


def main() -> None:
    """Decode the rows again and again, and print the best time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", type=int, default=600)
    args = parser.parse_args()
    rows = [row(number) for number in range(args.endpoints)]

    def decode_all() -> None:
        for value in rows:
            documents.endpoint(value)

    best_s = min(timeit.repeat(decode_all, number=1, repeat=ROUNDS))
    print(f"{args.endpoints} rows: {best_s * 1000:.2f} ms")


if __name__ == "__main__":
    main()
