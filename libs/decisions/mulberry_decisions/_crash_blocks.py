"""For how long a content is held back after upstreams were lost to it."""

#: Losses of an upstream during runs of one content from which it is held
#: back. At the loss of many upstreams at once a sound request may meet two,
#: seldom three.
BLOCKING_STRIKES = 3
#: Further losses that a content may meet that has lately completed a run: it
#: is most likely sound, and many callers may send it.
_ALLOWANCE_AFTER_COMPLETION = 3
#: First time for which a content is held back, seconds.
_FIRST_BLOCK_S = 10.0
#: Each further loss multiplies the time.
_BACKOFF_FACTOR = 8.0
#: Longest time for which a content is held back, seconds.
_MAX_BLOCK_S = 3_600.0


def block_duration_s(strikes: int, has_completed: bool = False) -> float:
    """Returns for how long a content is held back after its last strike.

    Answers a request that crashes each upstream that runs it, in the company
    of sound ones: those that ran beside it meet the same losses, and are
    tried again elsewhere together with it. Nothing tells them apart but
    another run, so each gets one after a while. A sound one is then free; the
    other takes one upstream each time, at growing intervals.

    Args:
        strikes: Upstreams that were lost during runs of the content.
        has_completed: Whether a run of it was complete lately.

    Returns:
        Seconds, zero if it may run.
    """
    excess = (
        strikes
        - BLOCKING_STRIKES
        - (_ALLOWANCE_AFTER_COMPLETION if has_completed else 0)
    )
    if excess < 0:
        return 0.0
    factor = _BACKOFF_FACTOR ** min(excess, 10)
    return min(_MAX_BLOCK_S, _FIRST_BLOCK_S * factor)
