"""The rows of a followed table, and the versions of the store that they reflect.

Rows arrive as whole tables and as changes, from the store and from peers, and may have
been overtaken on the way.  A peer's verification overtakes them, too: it shows that the
rows are those of a later version, although nothing has reported the changes up to it.
"""

import collections
import hashlib
import typing

from gaprock import eventlog, gateway_api

# Removed rows that are remembered, so that a peer can be sent only the changes.
MAX_TOMBSTONES: typing.Final = 2000
DIGEST_RANGE: typing.Final = 1 << 64


class FollowedTable:
    """Rows of one table; callers hold the lock of its follower."""

    __slots__ = (
        "name",
        "rows",
        "epoch",
        "version",
        "changed",
        "verified_version",
        "digest",
        "_tombstones",
        "_changes_from",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.rows: dict[str, gateway_api.Row] = {}
        # The store's epoch in which the rows were read; all versions belong to it.
        self.epoch = 0
        # The store's version that the rows reflect; -1 before the first read.
        self.version = -1
        # The version of the newest change in this table; -1 before the first read.
        self.changed = -1
        # The latest version for which a peer has verified these rows; -1 for none.  It
        # is kept apart from ``version`` because removals up to it may be unknown, and
        # peers need them.
        self.verified_version = -1
        # Digest of the rows, for comparison with a peer's rows.
        self.digest = digest({})
        # Versions of the most recently removed rows, by key, and the version after
        # which all changes are known, including removals.
        self._tombstones: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._changes_from = 0

    @property
    def as_of(self) -> int:
        """The store's version as of which the rows are known; -1 before a read."""
        return max(self.version, self.verified_version)

    def record_verification(self, version: int) -> None:
        """Record that the store has the same rows at a version."""
        self.verified_version = max(self.verified_version, version)

    def changes_after(self, epoch: int, since: int) -> list[gateway_api.Row] | None:
        """Return the changes after a version; ``None`` if some may be unknown.

        Without it, each change of one endpoint would send a peer the rows of all 3,000
        endpoints, some 180 bytes each.
        """
        if epoch != self.epoch or since < self._changes_from:
            return None
        found = [row for row in self.rows.values() if row.version > since]
        gone = [(k, v) for k, v in self._tombstones.items() if v > since]
        return found + [gateway_api.Row(key, None, version) for key, version in gone]

    def replace(self, page: gateway_api.Page, changed: int) -> None:
        """Replace all rows.

        :param changed: the version of the newest change that the rows show.
        """
        if page.epoch > self.epoch and self.version >= 0:
            eventlog.info(
                "rows-restored",
                table=self.name,
                epoch=page.epoch,
                old=self.epoch,
                version=page.version,
                known=self.version,
            )
        self.rows = {row.key: row for row in page.rows}
        self.epoch, self.version = page.epoch, page.version
        self.changed = changed
        self.verified_version = -1
        self._tombstones.clear()
        self._changes_from = page.version
        self.digest = digest(self.rows)

    def apply_changes(self, page: gateway_api.Page) -> list[gateway_api.Row]:
        """Apply changed rows, except those that are known already.

        :returns: the rows that were new.
        """
        fresh, overtaken = [], 0
        # Rows of one transaction share a version, so compare with the version that was
        # known before this page.
        known_until = self.as_of
        for row in page.rows:
            old = self.rows.get(row.key)
            if old is not None and old.version >= row.version:
                continue
            if row.version <= known_until and old is None:
                # The row was removed meanwhile.
                if row.value is None:
                    self._record_removal(row)
                else:
                    overtaken += 1
                continue
            fresh.append(row)
            self._apply_row(row, old)
        self.version = max(self.version, page.version)
        if overtaken:
            eventlog.info(
                "rows-overtaken",
                table=self.name,
                version=page.version,
                known=known_until,
                rows=overtaken,
            )
        return fresh

    def _apply_row(self, row: gateway_api.Row, old: gateway_api.Row | None) -> None:
        """Apply one changed row.

        :param old: the row that it replaces, if any.
        """
        if old is not None:
            self.digest = (self.digest - row_digest(old)) % DIGEST_RANGE
        if row.value is None:
            self.rows.pop(row.key, None)
            self._record_removal(row)
            return
        self.rows[row.key] = row
        self._tombstones.pop(row.key, None)
        self.digest = (self.digest + row_digest(row)) % DIGEST_RANGE
        self.changed = max(self.changed, row.version)

    def _record_removal(self, row: gateway_api.Row) -> None:
        """Record a removed row, so that peers that still have it can be told."""
        self.changed = max(self.changed, row.version)
        newest = max(row.version, self._tombstones.get(row.key, 0))
        self._tombstones[row.key] = newest
        self._tombstones.move_to_end(row.key)
        if len(self._tombstones) > MAX_TOMBSTONES:
            _, version = self._tombstones.popitem(last=False)
            self._changes_from = max(self._changes_from, version)


def digest(rows: dict[str, gateway_api.Row]) -> int:
    """Return a digest that is equal for tables with equal rows.

    It is a sum over the rows, so that it can be updated for one row without reading the
    others.
    """
    return sum(row_digest(row) for row in rows.values()) % DIGEST_RANGE


def row_digest(row: gateway_api.Row) -> int:
    """Return what a row adds to the digest of its table."""
    text = f"{row.key} {row.version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
