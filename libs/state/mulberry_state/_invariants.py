"""Checks inside the state machine."""


class InvariantError(Exception):
    """The state contradicts a guarantee; the voter must stop."""


def require(condition: bool, message: str) -> None:
    """Raises `InvariantError` with `message` unless `condition`.

    A plain `assert` would vanish under `python -O`.
    """
    if not condition:
        raise InvariantError(message)
