"""Determines the operator's name."""

import getpass


def operator_name(given: str) -> str:
    """Returns the given name, or the login name where none is given."""
    if given:
        return given
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # The user id is not in the system's user database.
        return "unknown"
