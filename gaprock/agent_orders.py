"""Fenced orders: an agent carries out no order of a control holder that lapsed.

Not every endpoint checks who gives it an order, so the agent does: it keeps the
highest epoch it has seen, and asks the lease's row in the table before each
order.  While the table is down it goes by what it has seen, and a new process
that has not seen the row yet carries out nothing.
"""

import threading
import typing

from gaprock import (
    agent_gate,
    errorcodes,
    errors,
    eventlog,
    lease,
    messages,
    services_api,
)

ACTIONS: typing.Final = ("load", "unload")


class Orders:
    """The order desk of one agent; safe for all threads."""

    __slots__ = ("_table", "_gate", "_lock", "epoch", "_confirmed")

    def __init__(self, table: services_api.Table, gate: agent_gate.Gate) -> None:
        self._table = table
        self._gate = gate
        self._lock = threading.Lock()
        # The highest epoch seen in any message, order or the table.
        self.epoch = 0
        # Whether this process has read the lease's row since it started.
        self._confirmed = False

    def note_epoch(self, epoch: int) -> None:
        """Learn an epoch from a heartbeat."""
        with self._lock:
            self.epoch = max(self.epoch, epoch)

    def carry_out(self, order: messages.Order) -> messages.OrderDone:
        """Carry an order out, or refuse it; the endpoint may take its time."""
        try:
            self._check(order)
            slot = self._slot(order)
            with slot.order_lock:
                # Another order may have come with a newer epoch meanwhile.
                self._check(order)
                slot.endpoint.order(order.action, order.version, order.epoch)
            slot.refresh()
        except errors.GaprockError as exc:
            self._log(order, exc.code.number, exc.detail)
            return messages.OrderDone(order.order, exc.code.number, exc.detail)
        self._log(order, errorcodes.OK, "")
        return messages.OrderDone(order.order, errorcodes.OK, "")

    def _check(self, order: messages.Order) -> None:
        """Refuse an order that is not from the newest known holder.

        :raises errors.GaprockError: ``FENCED`` or ``NOT_READY``.
        """
        self._ask_table()
        with self._lock:
            if not self._confirmed:
                raise errors.GaprockError(
                    errorcodes.NOT_READY, "the control epoch is not known yet"
                )
            if order.epoch < self.epoch:
                raise errors.GaprockError(
                    errorcodes.FENCED, f"epoch {order.epoch} is below {self.epoch}"
                )
            self.epoch = order.epoch

    def _ask_table(self) -> None:
        try:
            row = self._table.read([lease.KEY])[0]
        except services_api.PlatformError:
            return
        with self._lock:
            self._confirmed = True
            if row.value is not None:
                self.epoch = max(self.epoch, int(row.value["epoch"]))

    def _slot(self, order: messages.Order) -> agent_gate.Slot:
        slot = self._gate.slots.get(order.endpoint)
        if slot is None:
            raise errors.GaprockError(errorcodes.NO_ENDPOINT, order.endpoint)
        if order.action not in ACTIONS:
            raise errors.GaprockError(errorcodes.BAD_REQUEST, order.action)
        return slot

    def _log(self, order: messages.Order, code: int, detail: str) -> None:
        eventlog.info(
            "order",
            endpoint=order.endpoint,
            action=order.action,
            version=order.version,
            epoch=order.epoch,
            code=code,
            detail=detail,
        )
