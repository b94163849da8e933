"""In which order an upstream takes the requests that wait for it."""

#: Least urgent level that upstreams know; 0 is the most urgent.
LEAST_URGENT = 9


def urgency(priority: int, attempts: int) -> int:
    """Returns the level that an upstream is told, 0 to 9.

    Answers engines whose queues are full: what callers wait for with the
    shortest patience is begun first. A request that has been to an upstream
    in vain goes before others of its priority, for its caller has waited
    already.

    Args:
        priority: Of the route or the team; 0 is the most urgent.
        attempts: Of the request, the present one included.
    """
    is_first = attempts < 2
    return min(LEAST_URGENT, 2 * priority + is_first)
