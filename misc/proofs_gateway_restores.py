"""The gateway's proofs: restores of the store from a backup."""

import typing

from misc import proofs

LEFT: typing.Final = (
    "testrestoredendpoints.py::test_an_older_copy_does_not_bring_back_an_endpoint_that"
    "_left"
)
LOST: typing.Final = (
    "testrestoredrollouts.py::test_an_outcome_that_a_restore_lost_is_written_again"
)
AGAIN: typing.Final = (
    "testrestoredrollouts.py::test_an_attempt_that_is_ordered_again_is_not_taken_for"
    "_its_lost_follower"
)

PROOFS: typing.Final = (
    proofs.gateway(
        "a new epoch causes a full read of the table",
        "testepochs.py::test_an_answer_of_a_new_epoch_causes_a_full_read",
        "followers.py",
        "            raise gateway_api.HistoryGone\n        if page.epoch <",
        "            return\n        if page.epoch <",
    ),
    proofs.gateway(
        "a read of a later epoch is applied whatever its version",
        "testrestored.py::test_an_endpoint_that_leaves_under_a_reused_version_gets"
        "_nothing_new",
        "followers.py",
        "if (page.epoch, page.version) >= self.store_position:",
        "if page.version >= self.version:",
    ),
    proofs.gateway(
        "an answer of an earlier epoch is dropped",
        "testepochs.py::test_an_answer_of_an_earlier_epoch_is_dropped",
        "followers.py",
        "        if page.epoch < self.epoch:\n            raise",
        "        if False:\n            raise",
    ),
    proofs.gateway(
        "an answer to a request of an earlier epoch is dropped",
        "testepochs.py::test_an_answer_to_a_request_of_an_earlier_epoch_loses_no"
        "_changes",
        "followers.py",
        "if asked_in is not None and asked_in != self.epoch:",
        "if False:",
    ),
    proofs.gateway(
        "a poll of an earlier epoch is abandoned",
        "testepochs.py::test_a_poll_that_outlives_a_restore_is_abandoned",
        "followers.py",
        "                if self.epoch != epoch:\n",
        "                if False:\n",
    ),
    proofs.gateway(
        "an epoch that a peer's copy brings is recorded",
        "testrestoredendpoints.py::test_a_peers_copy_of_a_restored_store_takes_no"
        "_endpoint_out_of_use",
        "followers.py",
        'self._epochs.record(page.epoch, "copy")',
        "pass",
    ),
    proofs.gateway(
        "a verification of another epoch is ignored",
        "testepochs.py::test_a_verification_of_another_epoch_is_ignored",
        "followers.py",
        "if news.digest == self._rows.digest and news.epoch == self.epoch:",
        "if news.digest == self._rows.digest:",
    ),
    proofs.gateway(
        "changes are sent only within one epoch",
        "testepochs.py::test_a_peer_of_an_earlier_epoch_gets_the_whole_table",
        "followed_table.py",
        "if epoch != self.epoch or since < self._changes_from:",
        "if since < self._changes_from:",
    ),
    proofs.gateway(
        "a new epoch reported by a peer causes a full read of all tables",
        "testepochs.py::test_a_table_is_read_anew_when_a_peer_tells_a_restore_of"
        "_another",
        "row_exchange.py",
        'self._epochs.record(news.epoch, "peer", epoch_age_s)',
        "pass",
    ),
    proofs.gateway(
        "a store whose history is gone repeatedly is retried with pauses",
        "testepochs.py::test_a_store_that_answers_410_for_long_is_asked_with_pauses",
        "followers.py",
        "if self._history_gone_count > 1:",
        "if False:",
    ),
    proofs.gateway(
        "a departure missing from an older copy is kept",
        LEFT,
        "directory_rows.py",
        "                self._keep_departures(rows)\n",
        "",
    ),
    proofs.gateway(
        "incarnations that are gone are remembered",
        LEFT,
        "directory_rows.py",
        "                    self._remember_gone(endpoint)\n",
        "",
    ),
    proofs.gateway(
        "answers do not cancel a departure whose row a restore lost",
        "testrestoredendpoints.py::test_answers_do_not_take_back_a_departure_that_a"
        "_restore_lost",
        "departures.py",
        "elif known is not None and known.distrust_row_until:",
        "elif False:",
    ),
    proofs.gateway(
        "a finished rollout does not run again",
        LOST,
        "rollout_orders.py",
        "if outcome.state is rollout_state.State.RUNNING:",
        "if False:",
    ),
    proofs.gateway(
        "an outcome that a restore lost is written again",
        LOST,
        "rollout_writer.py",
        "if rollout.state is not rollout_state.State.RUNNING:",
        "if False:",
    ),
    proofs.gateway(
        "an outcome waits until its order is read in the new epoch",
        AGAIN,
        "rollout_orders.py",
        "if outcome.epoch > rollout.epoch:",
        "if False:",
    ),
    proofs.gateway(
        "a replaced order is recognized when an older copy brings it back",
        AGAIN,
        "rollout_orders.py",
        "if (revision, order) in self._replaced.get(order.service, ()):",
        "if False:",
    ),
    proofs.gateway(
        "no write uses a row version of an earlier epoch",
        "testrestoredrollouts.py::test_nothing_is_written_by_a_version_of_an_earlier"
        "_epoch",
        "rollout_writer.py",
        "if self._epochs.newest > self.epoch or rollout.epoch != self.epoch:",
        "if False:",
    ),
    proofs.gateway(
        "a hall stays cordoned while a restored store lacks its order",
        "testrestoredrollouts.py::test_a_hall_stays_emptied_while_a_restored_store"
        "_lacks_its_order",
        "gateway_rows.py",
        "self._tentative = set(self._cordoned)",
        "pass",
    ),
    proofs.gateway(
        "a gateway writes its own row again after a restore",
        "testrestored.py::test_a_gateways_own_row_is_written_again_after_a_restore"
        "_lost_it",
        "gateway_own_rows.py",
        "            self.check_epoch()\n",
        "            pass\n",
    ),
    proofs.gateway(
        "a gateway that starts gets the configuration in force from a peer",
        "testrestored.py::test_a_gateway_that_starts_after_a_restore_has_its_peers"
        "_configuration",
        "mesh.py",
        "if self.source.lacks_config(peer.beat.config, orders):",
        "if False:",
    ),
)
