"""Urgency levels that order the queue of an upstream."""

#: Least urgent level that upstreams support; 0 is the most urgent.
LEAST_URGENT = 9


def urgency(priority: int, attempts: int) -> int:
    """Returns the urgency level sent to an upstream, 0 to 9.

    An engine with a queue starts the requests with the lowest level first,
    whose callers have the shortest timeouts. A retry goes before first attempts
    of its priority, because its caller has already waited.

    Args:
        priority: Priority of the route or the team; 0 is the most urgent.
        attempts: Attempts of the request, including the current one.
    """
    is_first = attempts < 2
    return min(LEAST_URGENT, 2 * priority + is_first)
