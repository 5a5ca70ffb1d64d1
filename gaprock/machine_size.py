"""Classes of machines by size, and the order in which gateways take roles.

Load condition addressed: gateways on machines of very different size.  A hall's relays
and its reader of the store send more than the other gateways: in a fleet of 300, the
busiest sent 12.6 Mbit/s, more than the whole link of the smallest machines.

The order follows from classes rather than from figures, so that small differences do
not move a role.  No network is used here.
"""

import typing

from gaprock import mechanisms

# A machine's class is one more than the number of these that it reaches, by each
# figure; the scarcest decides, since a role needs all of them.  The steps are about as
# wide as the machine's figure varies between two sites.  The highest class begins where
# a start takes no longer than usual (``startup_wait``).
CORES: typing.Final = (0.35, 0.5, 0.75, 1.0)
LINK_MBPS: typing.Final = (10.0, 25.0, 50.0, 100.0)
MEMORY_MB: typing.Final = (150.0, 200.0, 300.0, 400.0)
# Class of a machine whose size is not known, and the largest class.
UNKNOWN: typing.Final = 0
MIDDLE: typing.Final = 3
LARGEST: typing.Final = 5


def machine_size(cores: float, link_mbps: float, memory_mb: float) -> int:
    """Return the class of a machine, from 1 to ``LARGEST``, or ``UNKNOWN``.

    Memory counts only beside few cores or a slow link: on a large machine even the
    smallest memory of a site is enough for a role.

    :param cores: 0 if unknown.
    :param link_mbps: the link, megabits per second; 0 if unknown.
    """
    if not cores and not link_mbps:
        return UNKNOWN
    by_cores = _class_of(cores, CORES) if cores else LARGEST
    by_link = _class_of(link_mbps, LINK_MBPS) if link_mbps else LARGEST
    size = min(by_cores, by_link)
    return size if size == LARGEST else min(size, _class_of(memory_mb, MEMORY_MB))


def _class_of(figure: float, steps: tuple[float, ...]) -> int:
    return 1 + sum(figure >= step for step in steps)


def role_key(size: int, name: str) -> tuple[int, str]:
    """Return the key by which gateways are ordered for roles, the first one first.

    :param size: the class of the gateway's machine.
    """
    if not mechanisms.MACHINE_SIZE.on:
        return 0, name
    return -(size or MIDDLE), name
