"""Periodic announcements of a stand-in to the entries."""

import http.client
import json
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any

#: Seconds between announcements.
_PERIOD_S = 1.0
#: Seconds until an announcement expires.
_VALID_S = 3
#: Timeout of one attempt, seconds.
_TIMEOUT_S = 1.0


class Announcer:
    """Sends each announcement to the first entry that accepts it."""

    def __init__(
        self,
        entries: Sequence[str],
        key: str,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        """Creates an announcer.

        Args:
            entries: `IP:PORT` of entries, tried in this order starting with
                the one that last accepted an announcement.
            key: Announce key; empty if none is required.
            describe: Returns the current description of the stand-in.
        """
        self._entries = list(entries)
        self._key = key
        self._describe = describe
        self._incarnation = int(time.time() * 1000)
        self._sequence = 0
        self._leaving = False
        self._accepted = 0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="announcer", daemon=True
        )

    @property
    def accepted(self) -> int:
        """Number of announcements that an entry accepted."""
        return self._accepted

    def start(self) -> None:
        """Starts sending announcements, if there are entries."""
        if self._entries:
            self._thread.start()

    def leave(self) -> None:
        """Announces the state `leaving` from now on, the first time at once."""
        self._leaving = True
        self._wake.set()

    def stop(self) -> None:
        """Stops sending announcements."""
        self._stopped = True
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopped:
            self._wake.clear()
            self._announce()
            self._wake.wait(_PERIOD_S)

    def _announce(self) -> None:
        self._sequence += 1
        body = json.dumps(
            {
                **self._describe(),
                "incarnation": self._incarnation,
                "sequence": self._sequence,
                "state": "leaving" if self._leaving else "ready",
                "valid_s": _VALID_S,
            }
        ).encode()
        for _ in range(len(self._entries)):
            if self._send(self._entries[0], body):
                self._accepted += 1
                return
            self._entries.append(self._entries.pop(0))

    def _send(self, entry: str, body: bytes) -> bool:
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        connection = http.client.HTTPConnection(entry, timeout=_TIMEOUT_S)
        try:
            connection.request("POST", "/v1/announcements", body, headers)
            return connection.getresponse().status < 300
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
