"""Names of operators."""

import getpass


def operator_name(given: str) -> str:
    """Returns the given name, or the login name where none is given."""
    if given:
        return given
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # A user id without an entry in the system's list of users.
        return "unknown"
