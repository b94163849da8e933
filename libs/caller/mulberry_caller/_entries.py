"""Cached list of a deployment's entries in order of preference."""

import json
import threading
import time
from collections.abc import Sequence
from urllib import parse

from mulberry_caller import _http

#: Seconds before the list is fetched again after no entry returned one.
_RETRY_S = 1.0
_FETCH_TIMEOUT_S = 2.0
#: Upper bound on the cache time that an entry may set, seconds.
_MAX_TTL_S = 300.0


class EntryList:
    """Thread-safe cache of the entries in order of preference."""

    def __init__(self, seeds: Sequence[str], zone: str) -> None:
        """Creates a list.

        Args:
            seeds: `IP:PORT` of the entries known at the start; at least one.
            zone: Availability zone of the caller, empty if unknown.
        """
        if not seeds:
            raise ValueError("at least one entry address is required")
        self._lock = threading.Lock()
        self._seeds = tuple(seeds)
        self._zone = zone
        self._entries: list[str] = list(seeds)
        self._expires_at_s = 0.0

    def ordered_entries(self) -> list[str]:
        """Returns the entries, fetching the list again if it has expired."""
        with self._lock:
            fresh = time.monotonic() < self._expires_at_s
            entries = list(self._entries)
        if fresh:
            return entries
        self._refresh(entries)
        with self._lock:
            return list(self._entries)

    def demote(self, entry: str) -> None:
        """Moves a failed entry to the end until the list is fetched again."""
        with self._lock:
            if entry in self._entries and len(self._entries) > 1:
                self._entries.remove(entry)
                self._entries.append(entry)

    def _refresh(self, known: list[str]) -> None:
        for entry in dict.fromkeys([*known, *self._seeds]):
            found = self._fetch_list(entry)
            if found:
                entries, keep_s = found
                self._store(entries, keep_s)
                return
        self._store(known, _RETRY_S)

    def _store(self, entries: list[str], keep_s: float) -> None:
        with self._lock:
            self._entries = entries
            self._expires_at_s = time.monotonic() + min(keep_s, _MAX_TTL_S)

    def _fetch_list(self, entry: str) -> tuple[list[str], float] | None:
        query = f"?zone={parse.quote(self._zone)}" if self._zone else ""
        request = _http.HttpRequest("GET", f"/v1/entries{query}", {})
        exchange, body = _http.fetch(entry, request, _FETCH_TIMEOUT_S)
        if exchange.error or exchange.status != 200:
            return None
        try:
            content = json.loads(body)
            entries = [str(item["address"]) for item in content["entries"]]
            keep_s = float(content["keep_s"])
        except (
            ValueError,
            TypeError,
            KeyError,
            OverflowError,
            RecursionError,
        ):
            return None
        return (entries, keep_s) if entries else None
