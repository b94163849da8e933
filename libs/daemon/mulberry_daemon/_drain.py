"""Graceful shutdown of an instance."""

import threading

from absl import logging

import mulberry_entry as entry

#: Time for the leaving entry to be off every list, seconds: soft state is
#: everywhere within this.
_PROPAGATION_S = 3.0

#: The entry stops once nothing has run for this long, seconds; a caller with
#: a kept connection may send one more request while its list expires.
_IDLE_S = 1.0

_POLL_S = 0.1


def drain(
    app: entry.EntryApp,
    entries_keep_s: float,
    forced: threading.Event,
) -> None:
    """Waits until no caller can be cut off; the entry is off the list.

    Args:
        app: Serves on until the drain is complete.
        entries_keep_s: How long callers may keep an entry list, seconds.
        forced: Ends the drain at once, as a second signal does.
    """
    logging.info("draining: waiting for kept entry lists to expire")
    forced.wait(entries_keep_s + _PROPAGATION_S)
    app.leave()
    idle_s = 0.0
    while idle_s < _IDLE_S and not forced.wait(_POLL_S):
        idle_s = 0.0 if app.running else idle_s + _POLL_S
    logging.info("drained: %d requests are still running", app.running)
