"""In-memory table whose calls can be made to fail."""

import typing

from gaprock import services_api

# What happens to a call.
OK: typing.Final = "ok"
# It is refused.
DOWN: typing.Final = "down"
# It takes effect, but its answer is lost.
LOST: typing.Final = "lost"
# Its answer is lost, and it takes effect only when ``apply_late`` is called.
LATE: typing.Final = "late"


class TableFake(services_api.Table):
    """Rows in memory; each call uses up one of ``faults``, later calls succeed."""

    def __init__(self, faults: typing.Sequence[str] = ()) -> None:
        self.rows: dict[str, services_api.Row] = {}
        self.faults = list(faults)
        self._late: list[list[services_api.TableOp]] = []

    def transact(self, ops: list[services_api.TableOp]) -> services_api.TxResult:
        fault = self.faults.pop(0) if self.faults else OK
        if fault == DOWN:
            raise services_api.PlatformError("down")
        if fault == LATE:
            self._late.append(ops)
            raise services_api.AnswerLost("late")
        result = self._apply(ops)
        if fault == LOST:
            raise services_api.AnswerLost("lost")
        return result

    def apply_late(self) -> None:
        """Apply the late transactions whose conditions still hold."""
        late, self._late = self._late, []
        for ops in late:
            self._apply(ops)

    def read(self, keys: list[str]) -> list[services_api.Row]:
        if self.faults and self.faults[0] == DOWN:
            self.faults.pop(0)
            raise services_api.PlatformError("down")
        return [self.row(key) for key in keys]

    def scan(self, prefix: str, after: str, limit: int) -> list[services_api.Row]:
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return [self.rows[key] for key in keys[:limit]]

    def row(self, key: str) -> services_api.Row:
        """Return a row; one of version 0 if it is absent."""
        return self.rows.get(key, services_api.Row(key, 0))

    def _apply(self, ops: list[services_api.TableOp]) -> services_api.TxResult:
        failed = [
            self.row(op.key)
            for op in ops
            if op.expect not in (services_api.ANY_VERSION, self.row(op.key).version)
        ]
        if failed:
            return services_api.TxResult(False, failed)
        for op in ops:
            version = self.row(op.key).version + 1
            if op.delete:
                self.rows.pop(op.key, None)
            elif not op.check_only:
                self.rows[op.key] = services_api.Row(op.key, version, op.value)
        return services_api.TxResult(True)
