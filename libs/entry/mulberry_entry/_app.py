"""The WSGI application of an entry."""

import hmac
import select
import socket
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import werkzeug
from absl import logging
from werkzeug import exceptions, routing

import mulberry_core as core
import mulberry_membership as membership
import mulberry_rules as rules
from mulberry_entry import (
    _answer_stream,
    _calls,
    _chat,
    _components,
    _direct,
    _dispatch,
    _requests,
    _responses,
    _server,
)

_Answer = werkzeug.Response | core.Refusal
_Handler = Callable[..., _Answer]

_URLS = routing.Map(
    [
        routing.Rule("/v1/entries", endpoint="entries", methods=["GET"]),
        routing.Rule("/v1/models", endpoint="models", methods=["GET"]),
        routing.Rule("/v1/chat/completions", endpoint="chat", methods=["POST"]),
        routing.Rule(
            "/v1/announcements", endpoint="announce", methods=["POST"]
        ),
        routing.Rule("/services/<service>/<path:path>", endpoint="call"),
    ],
    merge_slashes=False,
)


class EntryApp:
    """Dispatches requests to handlers and turns refusals into responses."""

    def __init__(self, components: _components.EntryComponents) -> None:
        self._components = components
        self._dispatcher = _dispatch.Dispatcher(components)
        self._chat = _chat.ChatHandler(components, self._dispatcher)
        self._calls = _calls.CallHandler(components, self._dispatcher)
        self._keep_alive_disabled = threading.Event()
        self._refuses_requests = threading.Event()
        self._lock = threading.Lock()
        self._active_requests = 0
        self._handlers_by_endpoint: Mapping[str, _Handler] = {
            "entries": self._entries,
            "models": self._models,
            "chat": self._run_chat,
            "announce": self._announce,
            "call": self._run_call,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answers one request."""
        http = werkzeug.Request(environ)
        request_id = _requests.new_request_id()
        with self._lock:
            self._active_requests += 1
        response = self._respond(http, request_id)
        response.call_on_close(self._request_finished)
        if self._keep_alive_disabled.is_set():
            _requests.close_after_answer(http)
        return response(environ, start_response)

    @property
    def active_requests(self) -> int:
        """Number of requests in progress, including open streams."""
        with self._lock:
            return self._active_requests

    def demand(self) -> tuple[tuple[str, str, int], ...]:
        """Returns recent requests as (model, version, count) rows."""
        return self._dispatcher.demand()

    def disable_keep_alive(self) -> None:
        """Makes every further response close its connection."""
        self._keep_alive_disabled.set()

    def refuse_requests(self) -> None:
        """Refuses further chats and calls, while running ones continue.

        The server answers what arrives until it has stopped, but ends what
        still runs a few seconds later.
        """
        self._refuses_requests.set()

    def _request_finished(self) -> None:
        with self._lock:
            self._active_requests -= 1

    def _respond(
        self, http: werkzeug.Request, request_id: str
    ) -> werkzeug.Response:
        try:
            endpoint, values = _URLS.bind_to_environ(http.environ).match()
            answer = self._handlers_by_endpoint[endpoint](
                http, request_id, **values
            )
        except exceptions.HTTPException as error:
            answer = core.Refusal(
                core.ErrorKind.NOT_FOUND,
                core.RunState.NOT_RUN,
                f"{http.method} {http.path}: {error.name}",
            )
        except Exception:
            logging.exception("request %s failed", request_id)
            answer = core.Refusal(
                core.ErrorKind.INTERNAL,
                core.RunState.UNKNOWN,
                "see the log of the entry",
            )
        if isinstance(answer, core.Refusal):
            self._components.counters.increment(
                f"entry.refusals.{answer.kind.value}"
            )
            return _responses.refusal_response(answer, request_id)
        self._components.counters.increment("entry.answers")
        answer.headers.setdefault("X-Request-Id", request_id)
        return answer

    def _entries(self, http: werkzeug.Request, request_id: str) -> _Answer:
        zone = http.args.get("zone", core.Missing.UNSET)
        entries = membership.read_entries(self._components.soft_state)
        return _responses.json_response(
            200,
            membership.entry_list_body(
                entries.values(),
                zone,
                self._components.timing.entries_keep_s,
            ),
        )

    def _models(self, http: werkzeug.Request, request_id: str) -> _Answer:
        result = self._read_request(http, request_id)
        if isinstance(result, core.Refusal):
            return result
        request, in_force = result
        names = [*in_force.models_by_name, *in_force.cascades_by_name]
        usable = [
            name
            for name in names
            if not isinstance(
                _chat.plan_models(in_force, request.team, name), core.Refusal
            )
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "router"}
            for name in usable
        ]
        return _responses.json_response(200, {"object": "list", "data": data})

    def _run_chat(self, http: werkzeug.Request, request_id: str) -> _Answer:
        result = self._read_request(http, request_id)
        if isinstance(result, core.Refusal):
            return result
        request, in_force = result
        answer = self._chat.handle(request, in_force, _disconnect_check(http))
        if isinstance(answer, werkzeug.Response) and isinstance(
            answer.response, _answer_stream.AnswerStream
        ):
            answer.response.use_direct_writer(
                _direct.direct_writer(http.environ.get(_server.REQUEST_KEY))
            )
        return answer

    def _run_call(
        self,
        http: werkzeug.Request,
        request_id: str,
        service: str,
        path: str,
    ) -> _Answer:
        result = self._read_request(http, request_id)
        if isinstance(result, core.Refusal):
            return result
        request, in_force = result
        return self._calls.handle(
            request, http, service, path, in_force, _disconnect_check(http)
        )

    def _announce(self, http: werkzeug.Request, request_id: str) -> _Answer:
        body = _requests.read_body(http, membership.MAX_ANNOUNCEMENT_BYTES)
        if isinstance(body, core.Refusal):
            return body
        if not self._may_announce(http):
            return core.Refusal(
                core.ErrorKind.UNAUTHENTICATED,
                core.RunState.NOT_RUN,
                "the announcement key is missing or wrong",
            )
        parsed = membership.parse_announcement(body)
        if isinstance(parsed, core.Refusal):
            return parsed
        outcome = self._components.directory.announce(parsed)
        return _responses.json_response(200, {"outcome": outcome.value})

    def _may_announce(self, http: werkzeug.Request) -> bool:
        expected = self._components.announce_key_hash
        if isinstance(expected, core.Missing):
            return True
        key = _requests.bearer_key(http)
        return not isinstance(key, core.Missing) and hmac.compare_digest(
            core.hash_key(key), expected
        )

    def _read_request(
        self, http: werkzeug.Request, request_id: str
    ) -> tuple[_requests.CallerRequest, rules.Rules] | core.Refusal:
        """Reads and authenticates a request if the rules lease is valid."""
        if self._refuses_requests.is_set():
            return core.Refusal(
                core.ErrorKind.ENTRY_LEAVING,
                core.RunState.NOT_RUN,
                "this entry has served its last request",
            )
        client = self._components.state
        # Read before the view, for which it vouches.
        lease_s = client.lease_remaining_s()
        view = client.view()
        if isinstance(view.rules, core.Missing):
            return core.Refusal(
                core.ErrorKind.NO_RULES,
                core.RunState.NOT_RUN,
                "no rules have been accepted",
            )
        if lease_s <= 0:
            return core.Refusal(
                core.ErrorKind.RULES_LEASE_EXPIRED,
                core.RunState.NOT_RUN,
                "the rules lease has expired; no quorum has renewed it",
            )
        request = _requests.read_request(
            http,
            view.rules,
            self._components.limits.max_body_bytes,
            request_id,
            self._components.clock.now(),
        )
        if isinstance(request, core.Refusal):
            return request
        return request, view.rules


def _disconnect_check(http: werkzeug.Request) -> Callable[[], bool]:
    """Returns a function that tests if the caller has disconnected."""
    http_request = http.environ.get(_server.REQUEST_KEY)
    connection = getattr(http_request, "conn", None)
    caller_socket = getattr(connection, "socket", None)
    if not isinstance(caller_socket, socket.socket):
        return lambda: False

    def is_disconnected() -> bool:
        try:
            # select.select does not support file descriptors above 1023.
            poll = select.poll()
            poll.register(caller_socket, select.POLLIN)
            return bool(poll.poll(0)) and not caller_socket.recv(
                1, socket.MSG_PEEK
            )
        except (OSError, ValueError):
            return True

    return is_disconnected
