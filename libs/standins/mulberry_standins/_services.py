"""Stand-ins for HTTP services, the rater and the weight store."""

import threading
import time
from collections.abc import Callable
from typing import Any

import mulberry_core as core
from mulberry_standins import _answers, _http, _standin

#: Exclusive upper bound of the stock, which is derived from an item's name.
_MAX_STOCK = 200

#: Status and JSON body.
_Result = tuple[int, dict[str, Any]]
_Operation = Callable[[_http.Exchange], _Result]


class Service(_standin.Standin):
    """Stand-in for `taller-app` and `loket`: deposits, orders and stock.

    `POST /deposits` and `POST /orders` are not idempotent: each run takes
    the next serial number.
    """

    def _routes(self) -> dict[tuple[str, str], _http.Handler]:
        self._lock = threading.Lock()
        self._body_by_serial: dict[int, Any] = {}
        return {
            ("POST", "/deposits"): self._handle_create,
            ("POST", "/orders"): self._handle_create,
            ("GET", "/stock"): self._handle_stock,
            ("GET", "/orders"): self._handle_order,
        }

    def _description(self) -> dict[str, Any]:
        return {**super()._description(), "service": self._options.service}

    def _handle_create(self, exchange: _http.Exchange) -> None:
        self._serve(exchange, self._create)

    def _handle_stock(self, exchange: _http.Exchange) -> None:
        def look_up(_: _http.Exchange) -> _Result:
            item = exchange.route.rpartition("/")[2]
            stock = core.bucket(item, "stock", _MAX_STOCK)
            return 200, {"item": item, "stock": stock}

        self._serve(exchange, look_up)

    def _handle_order(self, exchange: _http.Exchange) -> None:
        def look_up(_: _http.Exchange) -> _Result:
            serial = exchange.route.rpartition("/")[2]
            with self._lock:
                body = self._body_by_serial.get(
                    int(serial) if serial.isdigit() else 0
                )
            if body is None:
                return 404, {"error": {"message": "no such order"}}
            return 200, {"serial": int(serial), "order": body}

        self._serve(exchange, look_up)

    def _create(self, exchange: _http.Exchange) -> _Result:
        with self._lock:
            serial = len(self._body_by_serial) + 1
            self._body_by_serial[serial] = exchange.json_body() or {}
        return 201, {
            "serial": serial,
            "request_id": exchange.header("X-Request-Id"),
        }

    def _serve(self, exchange: _http.Exchange, operation: _Operation) -> None:
        request_id = exchange.header("X-Request-Id")
        faults = self._faults.take(request_id)
        if self._answer_by_fault(faults, exchange):
            return
        with self._slots.acquire(1) as admitted:
            if not admitted:
                exchange.refuse("the queue is full")
                return
            self._runs.add(exchange.header("Idempotency-Key"), request_id)
            self._crash_on_marker(faults, exchange)
            status, body = operation(exchange)
            time.sleep(
                self._options.work_ms / 1e3
                if faults.first_token_s < 0
                else faults.first_token_s
            )
            if faults.close_without_answer:
                exchange.drop()
                return
            if faults.oversize_bytes:
                body = {**body, "padding": "x" * faults.oversize_bytes}
            exchange.answer(status, body)


class Rater(_standin.Standin):
    """Scores an answer with the quality stated in it."""

    def _description(self) -> dict[str, Any]:
        return {**super()._description(), "service": "rater"}

    def _routes(self) -> dict[tuple[str, str], _http.Handler]:
        return {("POST", "/rate"): self._handle_rate}

    def _handle_rate(self, exchange: _http.Exchange) -> None:
        faults = self._faults.take(exchange.header("X-Request-Id"))
        if faults.close_without_answer:
            exchange.drop()
            return
        if self._answer_by_fault(faults, exchange):
            return
        body = exchange.json_body()
        if not isinstance(body, dict) or not isinstance(
            body.get("answer"), str
        ):
            exchange.answer(
                400,
                {"error": {"message": "the field `answer` must be a string"}},
            )
            return
        time.sleep(
            self._options.work_ms / 1e3
            if faults.first_token_s < 0
            else faults.first_token_s
        )
        quality = _answers.extract_quality(body["answer"])
        score = quality if isinstance(quality, float) else 0.0
        exchange.answer(200, {"score": 1.0 - score if faults.wrong else score})


class WeightStore(_standin.Standin):
    """Accepts `POST /weights`, one call per load, at a limited rate."""

    def _description(self) -> dict[str, Any]:
        return {**super()._description(), "service": "weights"}

    def _routes(self) -> dict[tuple[str, str], _http.Handler]:
        self._lock = threading.Lock()
        self._next_load_at_s = 0.0
        return {("POST", "/weights"): self._handle_load}

    def _handle_load(self, exchange: _http.Exchange) -> None:
        faults = self._faults.take(exchange.header("X-Request-Id"))
        if self._answer_by_fault(faults, exchange):
            return
        wait_s = self._reserve()
        if wait_s > 0:
            exchange.answer(
                429,
                {"error": {"message": "the rate limit is reached"}},
                {"Retry-After": str(int(wait_s) + 1)},
            )
            return
        request_id = exchange.header("X-Request-Id")
        self._runs.add(exchange.header("Idempotency-Key"), request_id)
        exchange.answer(200, {"state": "sent"})

    def _reserve(self) -> float:
        """Reserves a load; returns the seconds to wait if there is none."""
        now_s = time.monotonic()
        with self._lock:
            if now_s < self._next_load_at_s:
                return self._next_load_at_s - now_s
            self._next_load_at_s = now_s + 60.0 / self._options.loads_per_minute
        return 0.0
