"""Enum sentinels used where a value may be absent."""

import enum


class Missing(enum.Enum):
    """Stands in place of `None`, so that the kind of absence is typed."""

    #: The value was not given.
    UNSET = "unset"
    #: No bound applies.
    UNLIMITED = "unlimited"
