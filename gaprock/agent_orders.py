"""Fencing of orders: an agent refuses those of a former holder of the control lease.

Not every endpoint checks the epoch of an order, so the agent does.  It keeps the
highest epoch that it has seen, and reads the lease's row in the table before each
order.  While the table is down it uses the highest epoch seen so far; a process
that has not read the row since its start refuses all orders.
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
    """Carries out the orders to the endpoints of one agent; thread-safe."""

    __slots__ = ("_table", "_gate", "_lock", "epoch", "_has_read_lease")

    def __init__(self, table: services_api.Table, gate: agent_gate.Gate) -> None:
        self._table = table
        self._gate = gate
        self._lock = threading.Lock()
        # The highest epoch seen in a heartbeat, in an order or in the table.
        self.epoch = 0
        # Whether this process has read the lease's row since it started.
        self._has_read_lease = False

    def record_epoch(self, epoch: int) -> None:
        """Record the epoch of a heartbeat."""
        with self._lock:
            self.epoch = max(self.epoch, epoch)

    def carry_out(self, order: messages.Order) -> messages.OrderDone:
        """Carry out an order or refuse it; block until the endpoint has answered."""
        try:
            self._check(order)
            slot = self._slot(order)
            with slot.order_lock:
                # A higher epoch may have been seen while the order waited for the lock.
                self._check(order)
                slot.endpoint.order(order.action, order.version, order.epoch)
            slot.refresh()
        except errors.GaprockError as exc:
            self._log(order, exc.code.number, exc.detail)
            return messages.OrderDone(order.order, exc.code.number, exc.detail)
        self._log(order, errorcodes.OK, "")
        return messages.OrderDone(order.order, errorcodes.OK, "")

    def _check(self, order: messages.Order) -> None:
        """Check that an order has no lower epoch than the highest seen.

        :raises errors.GaprockError: ``FENCED`` when its epoch is lower, ``NOT_READY``
            when this process has never read the lease's row.
        """
        self._read_lease_epoch()
        with self._lock:
            if not self._has_read_lease:
                raise errors.GaprockError(
                    errorcodes.NOT_READY, "the control epoch is not known yet"
                )
            if order.epoch < self.epoch:
                raise errors.GaprockError(
                    errorcodes.FENCED, f"epoch {order.epoch} is below {self.epoch}"
                )
            self.epoch = order.epoch

    def _read_lease_epoch(self) -> None:
        try:
            row = self._table.read([lease.KEY])[0]
        except services_api.PlatformError:
            return
        with self._lock:
            self._has_read_lease = True
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
