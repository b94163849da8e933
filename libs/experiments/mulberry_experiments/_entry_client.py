"""An HTTP client that returns the unmodified response of an entry."""

import dataclasses
import http.client
import json
from collections.abc import Mapping
from typing import Any

_DEFAULT_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """Response of an entry, or a failed connection."""

    #: HTTP status; 0 if the connection failed before the response was complete.
    status: int
    #: Keys are in lower case.
    header_by_name: Mapping[str, str]
    body: bytes
    #: Whether the entry accepted the connection.
    connected: bool = True

    @property
    def content(self) -> Any:
        """The decoded JSON body; an empty object if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    @property
    def error_kind(self) -> str:
        """Error kind of a refused request or of a failed stream."""
        if self.status != 200:
            return str(self.content.get("kind", ""))
        return str(self.last_event.get("kind", ""))

    @property
    def run_status(self) -> str:
        """Field `run` of an error; empty for a complete stream."""
        if self.is_complete_stream:
            return ""
        source = self.content or self.last_event
        return str(source.get("run", ""))

    @property
    def is_complete_stream(self) -> bool:
        """Whether the body is a stream that ends with `[DONE]`."""
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
        """Whether the response is a complete, successful answer."""
        if "event-stream" in self.header_by_name.get("content-type", ""):
            return self.is_complete_stream
        return 200 <= self.status < 300

    @property
    def text(self) -> str:
        """Text of a chat answer, streamed or not."""
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


def chat_messages(prompt: str, system: str = "") -> list[dict[str, str]]:
    """Returns the messages of a chat, with a system message if it is given."""
    messages = [{"role": "user", "content": prompt}]
    if system:
        messages.insert(0, {"role": "system", "content": system})
    return messages


class EntryClient:
    """Sends requests of one team, each on a new connection."""

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
        system: str = "",
    ) -> Reply:
        """Sends a chat request."""
        return self.send(
            entry,
            "POST",
            "/v1/chat/completions",
            {
                "model": model,
                "stream": stream,
                "messages": chat_messages(prompt, system),
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
        """Sends one request without retries."""
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
            response = connection.getresponse()
            headers_received = {
                name.lower(): value for name, value in response.getheaders()
            }
            try:
                read = response.read()
            except http.client.IncompleteRead as error:
                return Reply(0, headers_received, error.partial)
            return Reply(response.status, headers_received, read)
        except ConnectionRefusedError:
            return Reply(0, {}, b"", connected=False)
        except (OSError, http.client.HTTPException):
            return Reply(0, {}, read)
        finally:
            connection.close()
