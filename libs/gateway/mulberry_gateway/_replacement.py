"""The upstream that can take over a run that may have to be given up."""

import mulberry_core as core
from mulberry_gateway import (
    _attempt_failure,
    _exchange,
    _retry_policy,
    _upstream_opener,
    _upstream_selection,
)


class Replacement:
    """Secures the next attempt before the current one is given up.

    A run that seems lost, or an answer that is not good enough, is worth more
    than none: the retry budget may be used up, or no other upstream may be
    reachable. Owned by the thread of the request.
    """

    def __init__(
        self,
        exchange: _exchange.Exchange,
        opener: _upstream_opener.UpstreamOpener,
        retries: _retry_policy.RetryPolicy,
        selector: _upstream_selection.UpstreamSelector,
    ) -> None:
        self._exchange = exchange
        self._selector = selector
        self._opener = opener
        self._retries = retries
        self._connected: _attempt_failure.ConnectedUpstream | core.Missing = (
            core.Missing.UNSET
        )

    def secure(self) -> bool:
        """Takes a retry and connects to another upstream, if possible."""
        if not isinstance(self._connected, core.Missing):
            return True
        denial = self._retries.take_retry(self._exchange)
        if not isinstance(denial, core.Missing):
            return False
        opened = self._opener.open_once(self._exchange)
        if isinstance(opened, _attempt_failure.AttemptFailure):
            self._retries.return_retry(self._exchange)
            return False
        self._connected = opened
        return True

    def take(self) -> _attempt_failure.ConnectedUpstream | core.Missing:
        """Returns the secured upstream, which the caller then owns."""
        connected, self._connected = self._connected, core.Missing.UNSET
        return connected

    def discard(self) -> None:
        """Closes the connection and returns the retry, if any was taken."""
        connected = self.take()
        if not isinstance(connected, core.Missing):
            connected.call.close()
            self._selector.released(connected.selection)
            self._retries.return_retry(self._exchange)
