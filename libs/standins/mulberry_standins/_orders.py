"""Orders to load and unload model versions, with fencing numbers."""

import threading
import time
from collections.abc import Sequence
from typing import Any

from mulberry_standins import _http

_ORDERS = frozenset({"load", "unload"})


class OrderProcessor:
    """Executes orders and records all of them, also rejected ones."""

    def __init__(
        self,
        serves: Sequence[tuple[str, str]],
        load_s: float,
        checks_fencing: bool,
    ) -> None:
        self._lock = threading.Lock()
        self._loaded = list(serves)
        self._load_s = load_s
        self._checks_fencing = checks_fencing
        self._highest_fencing_number = 0
        self._records: list[dict[str, Any]] = []

    def loaded_versions(self) -> tuple[tuple[str, str], ...]:
        """Returns the loaded (model, version) pairs."""
        with self._lock:
            return tuple(self._loaded)

    def handle_list(self, exchange: _http.Exchange) -> None:
        """Answers with all recorded orders in order of arrival."""
        with self._lock:
            records = list(self._records)
        exchange.answer(200, records)

    def handle_order(self, exchange: _http.Exchange) -> None:
        """Checks the fencing number and executes the order.

        The body is `{"order": "load"|"unload", "model", "version",
        "fencing_number"}`. The answer is sent after execution.
        """
        body = exchange.json_body()
        if not _is_order(body):
            exchange.answer(400, {"error": {"message": "malformed order"}})
            return
        if not self._record(body):
            exchange.answer(
                409,
                {
                    "error": {"message": "the fencing number is outdated"},
                    "highest": self._highest_fencing_number,
                },
            )
            return
        self._execute(body)
        exchange.answer(200, {"state": "done"})

    def _record(self, body: dict[str, Any]) -> bool:
        number = body["fencing_number"]
        with self._lock:
            accepted = (
                not self._checks_fencing
                or number >= self._highest_fencing_number
            )
            self._highest_fencing_number = max(
                self._highest_fencing_number, number
            )
            self._records.append(
                {**body, "accepted": accepted, "at_s": time.time()}
            )
        return accepted

    def _execute(self, body: dict[str, Any]) -> None:
        version_key = (body["model"], body["version"])
        if body["order"] == "load":
            time.sleep(self._load_s)
        with self._lock:
            if body["order"] == "unload" and version_key in self._loaded:
                self._loaded.remove(version_key)
            elif body["order"] == "load" and version_key not in self._loaded:
                self._loaded.append(version_key)


def _is_order(body: Any) -> bool:
    return (
        isinstance(body, dict)
        and body.get("order") in _ORDERS
        and isinstance(body.get("model"), str)
        and isinstance(body.get("version"), str)
        and isinstance(body.get("fencing_number"), int)
    )
