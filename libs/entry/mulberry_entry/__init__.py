"""The HTTP front end for callers and for upstream announcements."""

from mulberry_core import hash_key
from mulberry_entry._app import EntryApp
from mulberry_entry._billing import Biller
from mulberry_entry._components import DecisionSet, EntryComponents
from mulberry_entry._rater import Rater, ServiceRater
from mulberry_entry._ratings import RatingQueue
from mulberry_entry._server import HttpServer
from mulberry_entry._sessions import SessionPins
from mulberry_entry._versions import (
    rollout_share,
    usable_versions,
    version_offer,
)
from mulberry_membership import EntryState, entry_list_body

__all__ = [
    "Biller",
    "DecisionSet",
    "EntryApp",
    "EntryComponents",
    "EntryState",
    "HttpServer",
    "Rater",
    "RatingQueue",
    "ServiceRater",
    "SessionPins",
    "entry_list_body",
    "hash_key",
    "rollout_share",
    "usable_versions",
    "version_offer",
]
