"""Stand-in for a model engine with a prompt prefix cache."""

import collections
import threading
import time
from typing import Any

import mulberry_core as core
from mulberry_standins import (
    _answers,
    _faults,
    _http,
    _options,
    _orders,
    _standin,
    _stream,
)

#: Capacity of the prefix cache.
_CACHE_ENTRIES = 256
#: Length of the prompt prefix that is cached.
_PREFIX_BYTES = 256
#: One in this many cache events is never published.
_LOST_EVENT_INTERVAL = 17
_DEFAULT_PRIORITY = 2


class PrefixCache:
    """LRU cache of prompt prefixes; publishes events late and with gaps."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._digests: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=4 * _CACHE_ENTRIES)
        )
        self._sequence = 0

    def record_prompt(self, prompt: str) -> bool:
        """Caches a prompt's prefix; returns whether it was cached already."""
        digest = core.digest128(prompt.encode()[:_PREFIX_BYTES])
        with self._lock:
            hit = digest in self._digests
            self._digests[digest] = None
            self._digests.move_to_end(digest)
            if not hit:
                self._publish("stored", digest)
            if len(self._digests) > _CACHE_ENTRIES:
                self._publish("evicted", self._digests.popitem(last=False)[0])
        return hit

    def events_after(self, sequence: int) -> list[dict[str, Any]]:
        """Returns the published events with a higher sequence number."""
        published_before_s = time.monotonic() - self._lag_s
        with self._lock:
            return [
                event
                for at_s, event in self._events
                if at_s <= published_before_s and event["sequence"] > sequence
            ]

    def _publish(self, event: str, digest: str) -> None:
        self._sequence += 1
        if self._sequence % _LOST_EVENT_INTERVAL == 0:
            return
        record = {"sequence": self._sequence, "event": event, "prefix": digest}
        self._events.append((time.monotonic(), record))


class Engine(_standin.Standin):
    """Answers chat requests deterministically for the loaded versions."""

    def __init__(self, options: _options.Options) -> None:
        self._orders = _orders.OrderProcessor(
            options.serves, options.load_s, options.checks_fencing
        )
        self._cache = PrefixCache(options.cache_lag_s)
        super().__init__(options)

    def _routes(self) -> dict[tuple[str, str], _http.Handler]:
        return {
            ("POST", "/v1/chat/completions"): self._handle_chat,
            ("POST", "/control/orders"): self._orders.handle_order,
            ("GET", "/control/orders"): self._orders.handle_list,
            ("GET", "/cache/events"): self._handle_cache_events,
        }

    def _description(self) -> dict[str, Any]:
        serves = [
            {"model": model, "version": version}
            for model, version in self._orders.loaded_versions()
        ]
        return {**super()._description(), "serves": serves}

    def _handle_cache_events(self, exchange: _http.Exchange) -> None:
        after = exchange.query.get("after", "0")
        sequence = int(after) if after.isdigit() else 0
        exchange.answer(200, self._cache.events_after(sequence))

    def _handle_chat(self, exchange: _http.Exchange) -> None:
        prompt = self._read_prompt(exchange)
        if isinstance(prompt, core.Missing):
            exchange.answer(400, {"error": {"message": "malformed request"}})
            return
        if (prompt.model, prompt.version) not in self._orders.loaded_versions():
            exchange.refuse(f"{prompt.model} {prompt.version} is not loaded")
            return
        faults = self._faults.take(exchange.header("X-Request-Id"))
        if self._answer_by_fault(faults, exchange):
            return
        priority = exchange.header("X-Mulberry-Priority")
        with self._slots.acquire(
            int(priority) if priority.isdigit() else _DEFAULT_PRIORITY
        ) as admitted:
            if admitted:
                self._run(exchange, prompt, faults)
            else:
                exchange.refuse("the queue is full")

    def _read_prompt(
        self, exchange: _http.Exchange
    ) -> _answers.Prompt | core.Missing:
        body = exchange.json_body()
        model = exchange.header("X-Mulberry-Model")
        if not model and isinstance(body, dict):
            model = str(body.get("model", ""))
        version = exchange.header("X-Mulberry-Version")
        if not version:
            loaded = self._orders.loaded_versions()
            version = next((v for m, v in loaded if m == model), "")
        return _answers.parse_prompt(body, model, version)

    def _run(
        self,
        exchange: _http.Exchange,
        prompt: _answers.Prompt,
        faults: _faults.Faults,
    ) -> None:
        request_id = exchange.header("X-Request-Id")
        resume = exchange.header("X-Resume-From")
        resume_from = int(resume) if resume.isdigit() else 0
        if resume_from and not self._runs.contains(request_id):
            exchange.answer(409, {"error": {"message": "no such stream"}})
            return
        if not resume_from:
            self._runs.add(exchange.header("Idempotency-Key"), request_id)
        self._crash_on_marker(faults, exchange)
        if faults.close_without_answer:
            exchange.drop()
            return
        answer = self._make_answer(prompt, faults, request_id)
        timing = self._token_timing(faults)
        if prompt.streamed:
            _stream.send_stream(exchange, answer, timing, faults, resume_from)
        else:
            time.sleep(timing.due_s(len(answer.tokens) + 2, len(answer.tokens)))
            _send_whole(exchange, answer, faults)

    def _make_answer(
        self, prompt: _answers.Prompt, faults: _faults.Faults, request_id: str
    ) -> _stream.Answer:
        options = self._options
        self._cache.record_prompt(prompt.text)
        quality = options.quality if faults.quality < 0 else faults.quality
        return _stream.Answer(
            answer_id=f"chatcmpl-{faults.cross_id or request_id}",
            model=prompt.model,
            tokens=_answers.generate_tokens(prompt, options.tokens, quality),
            prompt_tokens=len(prompt.text.split()),
            created_s=int(time.time()),
        )

    def _token_timing(self, faults: _faults.Faults) -> _stream.TokenTiming:
        options = self._options
        first_s = options.first_token_ms / 1e3
        return _stream.TokenTiming(
            first_s if faults.first_token_s < 0 else faults.first_token_s,
            1.0 / options.tokens_per_s
            if faults.token_s < 0
            else faults.token_s,
            faults.delay_end_s,
        )


def _send_whole(
    exchange: _http.Exchange, answer: _stream.Answer, faults: _faults.Faults
) -> None:
    content = "".join(answer.tokens) + "x" * faults.oversize_bytes
    body = {
        "id": answer.answer_id,
        "object": "chat.completion",
        "created": answer.created_s,
        "model": answer.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": "stop",
            }
        ],
        "usage": answer.usage,
    }
    if faults.cut_after >= 0 or faults.garble_at >= 0:
        _send_malformed(exchange, faults)
        return
    exchange.answer(200, body)


def _send_malformed(exchange: _http.Exchange, faults: _faults.Faults) -> None:
    """Sends a body that is shorter than its stated length or not JSON."""
    data = b'{"id":"chatcmpl-\xff'
    exchange.send_response(200)
    exchange.send_header("Content-Type", "application/json")
    missing = 1 if faults.cut_after >= 0 else 0
    exchange.send_header("Content-Length", str(len(data) + missing))
    exchange.end_headers()
    exchange.send(data)
    exchange.drop()
