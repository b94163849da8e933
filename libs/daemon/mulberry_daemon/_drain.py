"""Graceful shutdown of an instance."""

import threading

from absl import logging

import mulberry_entry as entry

#: Time until all entry lists omit the leaving entry, seconds: soft state
#: reaches every instance within this time.
_PROPAGATION_S = 3.0

#: Idle time after which the entry stops, seconds. A caller with a persistent
#: connection may send another request while its entry list expires.
_IDLE_S = 1.0

#: Longest wait until the entry is idle, seconds. A caller that keeps an address
#: for longer than allowed would otherwise prevent the stop.
_MAX_IDLE_WAIT_S = 10.0

_POLL_S = 0.1


def drain(
    app: entry.EntryApp,
    entries_keep_s: float,
    forced: threading.Event,
) -> None:
    """Waits until the entry can stop without cutting off a request.

    The entry must already be announced as leaving.

    Args:
        app: The entry, which serves requests until the drain is complete.
        entries_keep_s: How long callers may cache an entry list, seconds.
        forced: Ends the drain immediately when set, as on a second signal.
    """
    logging.info("draining: waiting for cached entry lists to expire")
    forced.wait(entries_keep_s + _PROPAGATION_S)
    app.disable_keep_alive()
    idle_s = waited_s = 0.0
    while idle_s < _IDLE_S and waited_s < _MAX_IDLE_WAIT_S:
        if forced.wait(_POLL_S):
            break
        idle_s = 0.0 if app.active_requests else idle_s + _POLL_S
        waited_s += _POLL_S
    # A request that arrives from now on would be cut when the server stops.
    # One that was accepted just before this call is still awaited.
    app.refuse_requests()
    while app.active_requests and not forced.wait(_POLL_S):
        continue
    logging.info("drained: %d requests are still running", app.active_requests)
