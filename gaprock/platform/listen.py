"""Reads from the settings file what is needed before the program is imported.

``settings`` reads the whole file, with libraries whose import takes long on a small
machine.
"""

import tomllib
import typing


class ListenSettings(typing.NamedTuple):
    """Where callers connect, and the size of the machine.

    :param cpu_cores: number of cores; 0 if unknown.
    """

    address: tuple[str, int]
    cpu_cores: float


def read(path: str) -> ListenSettings | None:
    """Read a settings file; ``None`` if it has no valid address.

    Errors are left to ``settings``, which reports them.
    """
    try:
        with open(path, "rb") as file:
            doc = tomllib.load(file)
        host, _, port = doc["Listen"]["Front"].rpartition(":")
        limits = doc.get("Limits", {})
        cores = float(limits.get("CpuShare", 0)) * float(limits.get("Cores", 1))
        return ListenSettings((host, int(port)), cores)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
