"""Runtime checks of invariants."""


class InvariantError(Exception):
    """An invariant is violated; the voter must stop."""


def require(condition: bool, message: str) -> None:
    """Raises `InvariantError` with `message` unless `condition`.

    Unlike an `assert`, the check also runs under `python -O`.
    """
    if not condition:
        raise InvariantError(message)
