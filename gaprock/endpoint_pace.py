"""The load and the pace that one endpoint reports in its answers.

Some endpoints share their machines with others, and say in their answers how long work
takes there at the moment, relative to the usual time.  This figure changes within a
second; its lasting part differs from endpoint to endpoint.

Load condition: endpoints of different and changing speed.  A gateway sees few of an
endpoint's answers, so it uses the reports that its peers received as well.
"""

import typing

from gaprock import gateway_api

if typing.TYPE_CHECKING:
    from gaprock import mesh_messages

USUAL_PACE: typing.Final = 1.0
# Bounds of a pace in decisions: an endpoint that reports false figures must neither
# attract all requests nor excuse any slowness.
MIN_PACE: typing.Final = 0.25
MAX_PACE: typing.Final = 4.0
# Usual length of a transient slowdown.  A report says nothing of the moment once it is
# older than this.
TRANSIENT_S: typing.Final = 0.6
# Reports from which the lasting pace is taken: those of this time, but at least the
# newest ``MIN_SAMPLES``, since a gateway alone sees one in several seconds.  The time
# is five transient slowdowns, so a lasting change is accepted within three seconds.
WINDOW_S: typing.Final = 3.0
MIN_SAMPLES: typing.Final = 3
# Reports within this time count as one, so that a slowdown in which many answers end
# weighs no more than its length.
SAMPLE_INTERVAL_S: typing.Final = 0.25
# The lasting pace is the one that this share of the samples is at or below.  Transients
# only slow an endpoint down; they may fill two thirds of the window.
QUANTILE: typing.Final = 1 / 3
# Age at which the load in a report no longer counts.
LOAD_FRESH_S: typing.Final = 1.0
# An endpoint that reports no pace for this long has the usual one.
FORGET_S: typing.Final = 60.0


class EndpointPace:
    """The reports of one incarnation of an endpoint; guarded by the directory's lock.

    A pace is a factor on the usual time of work: 1.0 is as usual, 2.0 twice as slow.
    """

    __slots__ = (
        "reporter",
        "_samples",
        "_lasting",
        "_newest",
        "_newest_at",
        "_report",
        "_report_at",
        "_own_running",
    )

    def __init__(self) -> None:
        # The gateway that received the newest report; empty for this one.
        self.reporter = ""
        # Reported paces as (time, pace), the oldest first.
        self._samples: list[tuple[float, float]] = []
        # ``None`` while no pace is known.
        self._lasting: float | None = None
        # The newest pace, whoever received it, and when.
        self._newest = USUAL_PACE
        self._newest_at = 0.0
        # The newest report in an answer to this gateway, when it arrived, and this
        # gateway's requests at the time.
        self._report: gateway_api.LoadReport | None = None
        self._report_at = 0.0
        self._own_running = 0

    def record(
        self, report: gateway_api.LoadReport, own_running: int, now: float
    ) -> None:
        """Record a report in an answer to this gateway.

        :param own_running: this gateway's requests there at the time.
        """
        self._report, self._report_at, self._own_running = report, now, own_running
        if report.pace is not None:
            self._add(report.pace, now)
            self.reporter = ""

    def record_peer(self, update: "mesh_messages.PaceUpdate", now: float) -> None:
        """Record the pace that a peer reports."""
        at = now - max(0, update.age_ms) / 1000
        if at <= now - FORGET_S or self._lasting is not None and at <= self._newest_at:
            return
        if self._lasting is None:
            self._samples = [(at - SAMPLE_INTERVAL_S, max(1, update.lasting) / 100)]
        self._add(max(1, update.current) / 100, at)

    def _add(self, pace: float, at: float) -> None:
        self._newest, self._newest_at = pace, at
        samples = self._samples
        if samples and at < samples[-1][0] + SAMPLE_INTERVAL_S:
            samples[-1] = (samples[-1][0], pace)
        else:
            samples.append((at, pace))
        while samples[0][0] < at - FORGET_S or (
            len(samples) > MIN_SAMPLES and samples[0][0] < at - WINDOW_S
        ):
            del samples[0]
        paces = sorted(sample[1] for sample in samples)
        self._lasting = paces[int((len(paces) - 1) * QUANTILE)]

    def expire(self, now: float) -> None:
        """Forget the pace if none was reported for long."""
        if self._lasting is not None and now > self._newest_at + FORGET_S:
            self._lasting = None
            self._samples = []

    @property
    def is_reported(self) -> bool:
        """Whether the endpoint reports a pace."""
        return self._lasting is not None

    @property
    def lasting(self) -> float:
        """The pace over the last seconds; 1.0 while unknown."""
        return USUAL_PACE if self._lasting is None else self._lasting

    @property
    def newest(self) -> float:
        """The pace in the newest report."""
        return self._newest

    def age_s(self, now: float) -> float:
        """Return the age of the newest report of a pace, in seconds."""
        return now - self._newest_at

    def current(self, now: float) -> float:
        """Return the momentary pace; the lasting one once the report is old."""
        lasting = self._lasting
        if lasting is None:
            return USUAL_PACE
        # The chance that a slowdown under way at the report is still under way.
        weight = 1.0 - (now - self._newest_at) / TRANSIENT_S
        if weight <= 0.0:
            return lasting
        return lasting + min(1.0, weight) * (self._newest - lasting)

    def duration_s(self, work_s: float, now: float) -> float:
        """Return how long work takes that takes ``work_s`` seconds at a pace of 1.0.

        A slowdown under way at the newest report ends ``TRANSIENT_S`` after it.  Longer
        work goes on at the lasting pace then.
        """
        lasting = self.lasting
        left_s = TRANSIENT_S - self.age_s(now)
        if self._lasting is None or left_s <= 0.0:
            return work_s * lasting
        done_s = left_s / self._newest
        if work_s <= done_s:
            return work_s * self._newest
        return left_s + (work_s - done_s) * lasting

    def others(self, now: float) -> int | None:
        """Return other gateways' requests there; ``None`` without a fresh report."""
        report = self._report
        if report is None or now > self._report_at + LOAD_FRESH_S:
            return None
        return max(0, report.running + report.waiting - self._own_running)


def bounded(pace: float) -> float:
    """Return a pace within the bounds for decisions."""
    return min(MAX_PACE, max(MIN_PACE, pace))
