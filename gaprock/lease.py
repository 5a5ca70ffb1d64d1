"""The control lease: one row in the table, with an epoch that only grows.

A holder that was paused may still believe that it holds the lease.  Nothing
relies on that belief: control writes carry the lease row's version as a
condition, and orders carry the epoch, which agents and engines compare.
"""

import typing

from gaprock import clock, ids, services_api

KEY: typing.Final = "lease/control"


class Lease:
    """One process's view of the lease; used by one thread."""

    __slots__ = (
        "_table",
        "_holder",
        "_clock",
        "_lease_s",
        "epoch",
        "_version",
        "until",
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
        # The highest epoch seen; ours while we hold the lease.
        self.epoch = 0
        self._version = 0
        # Until when we hold the lease; 0 when we do not.
        self.until = 0.0

    @property
    def held(self) -> bool:
        """Whether we hold the lease, as far as we know."""
        return self._clock.now() < self.until

    def condition(self) -> services_api.TableOp:
        """Give the condition that our lease is still the one in the table."""
        return services_api.TableOp(KEY, self._version, check_only=True)

    def refresh(self) -> bool:
        """Take or renew the lease if that is possible.

        :returns: whether we hold it.
        :raises services_api.PlatformError: when the table did not answer.
        """
        asked_at = self._clock.now()
        row = self._table.read([KEY])[0]
        value = row.value or {"holder": "", "epoch": 0, "until": 0.0}
        self.epoch = max(self.epoch, int(value["epoch"]))
        ours = value["holder"] == self._holder
        if not ours and float(value["until"]) > asked_at:
            self.until = 0.0
            return False
        # A new term even for ourselves once the old one lapsed: another holder
        # may have been there in between.
        lapsed = float(value["until"]) <= asked_at
        epoch = int(value["epoch"]) + (0 if ours and not lapsed else 1)
        return self._write(row, epoch, asked_at)

    def release(self) -> None:
        """Give the lease up so that the next holder need not wait."""
        if not self.held:
            return
        value = {"holder": "", "epoch": self.epoch, "until": 0.0}
        self.until = 0.0
        try:
            self._table.transact([services_api.TableOp(KEY, self._version, value)])
        except services_api.PlatformError:
            # It lapses by itself.
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
            self.until = 0.0
            return False
        self.epoch = epoch
        self._version = row.version + 1
        self.until = until
        return True
