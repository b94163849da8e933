"""A sound server: announces itself, runs requests and notes each run."""

import http.client
import http.server
import json
import sys
import threading
import time
from typing import Any

_SETTINGS: dict[str, Any] = json.loads(sys.argv[1])
_ID = _SETTINGS["id"]
_SLOTS = 6
_BEAT_S = 1.2
_lock = threading.Lock()


def _note(run: dict[str, Any]) -> None:
    with _lock, open(_SETTINGS["runs"], "a") as file:
        file.write(json.dumps(run) + "\n")


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers one request of a connection after the other."""

    protocol_version = "HTTP/1.1"
    #: Head and body leave together.
    wbufsize = 65_536

    def _answer(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        request_id = self.headers.get("X-Request-Id", "")
        expected = self.headers.get("X-Expect-Instance", _ID)
        if expected != _ID or not request_id:
            status = 421 if request_id else 400
            self._send(status, request_id, b"", {"X-Not-Executed": "1"})
            return
        _note(
            {
                "at": time.time(),
                "id": request_id,
                "method": self.command,
                "path": self.path,
                "tenant": self.headers.get("X-Tenant-Id", ""),
                "bytes": len(body),
                "worker": _ID,
            }
        )
        time.sleep(float(_SETTINGS.get("work_s", 0.02)))
        content = json.dumps({"answer-to": request_id, "by": _ID}).encode()
        self._send(200, request_id, content, {"X-Response-Stamp": f"s.{_ID}"})

    def _send(
        self,
        status: int,
        request_id: str,
        content: bytes,
        headers: dict[str, str],
    ) -> None:
        self.send_response(status)
        self.send_header("X-Request-Id", request_id)
        self.send_header("X-Instance-Id", _ID)
        self.send_header("X-Server-Load", f"0,0,{_SLOTS}")
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(content)
        self.wfile.flush()

    do_GET = do_POST = do_HEAD = do_PUT = _answer  # noqa: N815 (their names)

    def log_message(self, format: str, *args: object) -> None:
        """Writes nothing: the runs are noted elsewhere."""


class _Server(http.server.ThreadingHTTPServer):
    request_queue_size = 128
    daemon_threads = True


def _announce() -> None:
    """Sends heartbeats to one machine, to the next one after a failure."""
    controls = list(_SETTINGS["controls"])
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        beat = {
            "Service": _SETTINGS["service"],
            "Address": _SETTINGS["address"],
            "Zone": _SETTINGS["zone"],
            "Version": "v1",
            "Slots": _SLOTS,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": sequence,
            "born": born,
        }
        host, _, port = controls[0].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request(
                "POST",
                f"/Instances.Heartbeat/{_ID}",
                json.dumps(beat).encode(),
                {"Content-Type": "application/json"},
            )
            is_confirmed = connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            is_confirmed = False
        finally:
            connection.close()
        if is_confirmed:
            time.sleep(_BEAT_S)
        else:
            controls.append(controls.pop(0))
            time.sleep(0.1)


def main() -> None:
    """Serves until the process is killed."""
    host, _, port = _SETTINGS["address"].rpartition(":")
    server = _Server((host, int(port)), _Handler)
    threading.Thread(target=_announce, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
