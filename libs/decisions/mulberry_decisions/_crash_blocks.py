"""How long a content is blocked after losses of upstreams that ran it."""

#: Number of upstreams lost during runs of a content from which it is blocked.
#: If many upstreams are lost at once, a harmless request may be on two of them,
#: but rarely on three.
BLOCKING_STRIKES = 3
#: Additional losses allowed for a content that has recently completed a run: it
#: is most likely harmless, and many callers may send it.
_ALLOWANCE_AFTER_COMPLETION = 3
#: Duration of the first block, seconds.
_FIRST_BLOCK_S = 10.0
#: Factor of the duration for each further loss.
_BACKOFF_FACTOR = 8.0
#: Longest duration of a block, seconds.
_MAX_BLOCK_S = 3_600.0


def block_duration_s(strikes: int, has_completed: bool = False) -> float:
    """Returns how long a content is blocked after its last strike, in seconds.

    When a request crashes the upstreams that run it, harmless requests on the
    same upstreams get the same strikes and are retried together with it. Only
    another run can distinguish them, so each content gets one when its block
    expires. A harmless one then completes and is no longer blocked; the other
    crashes one upstream each time, at exponentially growing intervals.

    Args:
        strikes: Number of upstreams lost during runs of the content.
        has_completed: Whether a run of it has recently completed.

    Returns:
        The duration, 0 if the content may run.
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
