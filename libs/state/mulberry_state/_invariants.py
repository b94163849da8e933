"""Checks inside the state machine."""


class InvariantError(Exception):
    """The state contradicts a guarantee; the voter must stop."""


def require(holds: bool, sentence: str) -> None:
    """Raises `InvariantError` with `sentence` unless `holds`.

    A plain `assert` would vanish under `python -O`.
    """
    if not holds:
        raise InvariantError(sentence)
