"""The rules lease vouches only for a view that has been installed."""

import threading
from typing import Any

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_state import _view
from mulberry_wire import state_pb2


class _Client(state.RemoteStateClient):
    """A client whose voter grants each renewal, with one new view."""

    def __init__(self) -> None:
        super().__init__("i", ["a"], core.ManualClock(1_000.0), rules.Timing())
        #: Revisions that were sent with renewals.
        self.sent: list[int] = []
        self.voter_client.call = self._call  # type: ignore[method-assign]

    def _call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        self.sent.append(request.revision)
        reply = state_pb2.RenewReply(granted=True)
        if request.revision < 5:
            reply.view.revision = 5
        return reply


def test_lease_is_extended_after_the_view_was_installed() -> None:
    """Guards against requests that run under rules that were replaced.

    After a freeze, the first renewal brings rules in which a key is missing.
    """
    client = _Client()
    leases_s: list[float] = []
    ages_s: list[float] = []

    def install(view: _view.View) -> None:
        leases_s.append(client.lease_remaining_s())
        ages_s.append(client.view_age_s())

    client.subscribe(install)
    assert client.renew_once(0.1)
    assert leases_s == [0.0]
    assert ages_s == [float("inf")]
    assert client.lease_remaining_s() > 0.0
    assert client.view_age_s() == 0.0


def test_other_renewals_wait_for_the_installation() -> None:
    """Guards against a lease or report for a view that is being installed.

    A second thread renews, for example to refresh the view.
    """
    client = _Client()
    installing, may_end = threading.Event(), threading.Event()

    def install(view: _view.View) -> None:
        installing.set()
        assert may_end.wait(10.0)

    client.subscribe(install)
    threads = [
        threading.Thread(target=client.renew_once, args=(5.0,))
        for _ in range(2)
    ]
    threads[0].start()
    assert installing.wait(10.0)
    threads[1].start()
    threads[1].join(0.2)
    assert client.sent == [0]
    assert client.lease_remaining_s() == 0.0
    may_end.set()
    for thread in threads:
        thread.join(10.0)
    assert client.sent == [0, 5]
    assert client.lease_remaining_s() > 0.0
