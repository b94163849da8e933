"""Sentinels for absent values."""

import enum


class Missing(enum.Enum):
    """Used instead of `None`, so that the kind of absence is typed."""

    #: The value was not given.
    UNSET = "unset"
    #: No bound applies.
    UNLIMITED = "unlimited"
