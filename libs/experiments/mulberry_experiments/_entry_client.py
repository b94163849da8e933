"""A plain HTTP client that reports exactly what an entry answered."""

import dataclasses
import http.client
import json
from collections.abc import Mapping
from typing import Any

_DEFAULT_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """One answer of an entry."""

    #: 0 if the connection broke before an answer.
    status: int
    #: By name in lower case.
    header_by_name: Mapping[str, str]
    body: bytes
    #: Whether the entry took the connection.
    connected: bool = True

    @property
    def content(self) -> Any:
        """The body as JSON, empty if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    @property
    def error_kind(self) -> str:
        """Error kind of a refusal or of a stream that ended with an error."""
        if self.status != 200:
            return str(self.content.get("kind", ""))
        return str(self.last_event.get("kind", ""))

    @property
    def run_status(self) -> str:
        """Run word of a refusal, empty for an answer."""
        if self.is_complete_stream:
            return ""
        source = self.content or self.last_event
        return str(source.get("run", ""))

    @property
    def is_complete_stream(self) -> bool:
        """Whether the body is a stream that ended as it should."""
        return self.body.rstrip().endswith(b"data: [DONE]")

    @property
    def last_event(self) -> Any:
        """The last JSON event of a stream."""
        for line in reversed(self.body.splitlines()):
            if line.startswith(b"data: {"):
                return json.loads(line.removeprefix(b"data: "))
        return {}

    @property
    def is_success(self) -> bool:
        """Whether the caller has a whole answer."""
        if "event-stream" in self.header_by_name.get("content-type", ""):
            return self.is_complete_stream
        return 200 <= self.status < 300

    @property
    def text(self) -> str:
        """Text of a chat answer, whole or streamed."""
        if "event-stream" not in self.header_by_name.get("content-type", ""):
            choices = self.content.get("choices", [])
            return "".join(item["message"]["content"] for item in choices)
        parts = []
        for line in self.body.splitlines():
            if line.startswith(b"data: {"):
                event = json.loads(line.removeprefix(b"data: "))
                for choice in event.get("choices", []):
                    parts.append(choice["delta"].get("content") or "")
        return "".join(parts)


class EntryClient:
    """Sends requests of one team; opens a connection for each."""

    def __init__(self, key: str, timeout_s: float = _DEFAULT_TIMEOUT_S) -> None:
        self._key = key
        self._timeout_s = timeout_s

    def chat(
        self,
        entry: str,
        model: str,
        prompt: str,
        stream: bool = False,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Sends a chat request."""
        return self.send(
            entry,
            "POST",
            "/v1/chat/completions",
            {
                "model": model,
                "stream": stream,
                "messages": [{"role": "user", "content": prompt}],
            },
            headers,
        )

    def send(
        self,
        entry: str,
        method: str,
        path: str,
        content: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Sends one request; never sends it again by itself."""
        host, port = entry.rsplit(":", 1)
        connection = http.client.HTTPConnection(
            host, int(port), timeout=self._timeout_s
        )
        body = b"" if content is None else json.dumps(content).encode()
        all_headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
            **(headers or {}),
        }
        read = b""
        try:
            connection.request(method, path, body, all_headers)
            answer = connection.getresponse()
            found = {name.lower(): value for name, value in answer.getheaders()}
            try:
                read = answer.read()
            except http.client.IncompleteRead as error:
                return Reply(0, found, error.partial)
            return Reply(answer.status, found, read)
        except ConnectionRefusedError:
            return Reply(0, {}, b"", connected=False)
        except (OSError, http.client.HTTPException):
            return Reply(0, {}, read)
        finally:
            connection.close()
