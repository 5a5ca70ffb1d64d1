"""The control lease: one row in the table, with an epoch that never decreases.

A holder that was paused may wrongly assume that it still holds the lease.  Fencing
makes this harmless: control writes carry the version of the lease's row as a
condition, and orders carry the epoch, which agents and engines compare.
"""

import typing

from gaprock import clock, ids, services_api

KEY: typing.Final = "lease/control"


class Lease:
    """The lease as one process sees it; for use by a single thread."""

    __slots__ = (
        "_table",
        "_holder",
        "_clock",
        "_lease_s",
        "epoch",
        "_version",
        "held_until",
    )

    def __init__(
        self,
        table: services_api.Table,
        holder: str,
        clock_: clock.Clock,
        lease_s: float,
    ) -> None:
        self._table = table
        self._holder = holder
        self._clock = clock_
        self._lease_s = lease_s
        # The highest epoch seen; our own while we hold the lease.
        self.epoch = 0
        self._version = 0
        # When our lease expires; 0 while we do not hold it.
        self.held_until = 0.0

    @property
    def held(self) -> bool:
        """Whether our lease has not expired by our own clock."""
        return self._clock.now() < self.held_until

    def condition(self) -> services_api.TableOp:
        """Return a check for a transaction: the lease in the table is still ours."""
        return services_api.TableOp(KEY, self._version, check_only=True)

    def refresh(self) -> bool:
        """Acquire or renew the lease unless another process holds it.

        :returns: whether we hold it.
        :raises services_api.PlatformError: when the table did not answer.
        """
        asked_at = self._clock.now()
        row = self._table.read([KEY])[0]
        value = row.value or {"holder": "", "epoch": 0, "until": 0.0}
        self.epoch = max(self.epoch, int(value["epoch"]))
        ours = value["holder"] == self._holder
        if not ours and float(value["until"]) > asked_at:
            self.held_until = 0.0
            return False
        # Once our lease has expired we need a new epoch too: another process may have
        # held the lease in between.
        has_expired = float(value["until"]) <= asked_at
        epoch = int(value["epoch"]) + (0 if ours and not has_expired else 1)
        return self._write(row, epoch, asked_at)

    def release(self) -> None:
        """Release the lease, so that the next holder need not wait until it expires."""
        if not self.held:
            return
        value = {"holder": "", "epoch": self.epoch, "until": 0.0}
        self.held_until = 0.0
        try:
            self._table.transact([services_api.TableOp(KEY, self._version, value)])
        except services_api.PlatformError:
            # The lease expires by itself.
            return

    def _write(self, row: services_api.Row, epoch: int, asked_at: float) -> bool:
        txid = ids.new_token()
        until = asked_at + self._lease_s
        value = {"holder": self._holder, "epoch": epoch, "until": until, "txid": txid}
        try:
            done = self._table.transact(
                [services_api.TableOp(KEY, row.version, value)]
            ).ok
        except services_api.AnswerLost:
            found = self._table.read([KEY])[0]
            done = found.value is not None and found.value.get("txid") == txid
        if not done:
            self.held_until = 0.0
            return False
        self.epoch = epoch
        self._version = row.version + 1
        self.held_until = until
        return True
