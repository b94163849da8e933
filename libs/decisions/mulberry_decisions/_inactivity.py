"""When to abandon an upstream that sends nothing or makes no progress."""

import dataclasses
import enum

#: Multiple of the expected time between received data after which the upstream
#: is probed.
_PROBE_FACTOR = 0.6
#: Multiple of that time after which an upstream is abandoned that answers no
#: request.
_ABANDON_FACTOR = 2.5
#: Multiple of that time after which an upstream is abandoned that sends bytes,
#: or answers other requests, but makes no progress with this request. Callers
#: give up at eight times the longest pause.
_STALL_FACTOR = 6.0


class InactivityAction(enum.Enum):
    """Action for an upstream that sends nothing."""

    WAIT = "wait"
    #: Check whether it still accepts connections.
    PROBE = "probe"
    ABANDON = "leave"


@dataclasses.dataclass(frozen=True)
class InactivityPolicy:
    """Distinguishes slow upstreams from lost ones.

    An upstream can disappear without a connection reset while requests run on
    it; a connection attempt then fails. An upstream that accepts connections
    but answers no request is abandoned later. An upstream that is slow under
    load still answers other requests and is not abandoned: a retry would run
    the work twice during an overload.
    """

    #: Expected time between received data, seconds.
    expected_s: float

    @property
    def first_check_s(self) -> float:
        """Inactivity after which `next_action` is first called, seconds."""
        return self.expected_s * _PROBE_FACTOR

    def is_stalled(self, stalled_s: float) -> bool:
        """Whether to abandon an upstream for lack of progress.

        Args:
            stalled_s: Time that this instance has waited for progress, seconds.
        """
        return stalled_s >= self.expected_s * _STALL_FACTOR

    def next_action(
        self, inactive_s: float, answered_others: bool
    ) -> InactivityAction:
        """Returns the action for an inactive upstream.

        Args:
            inactive_s: Time since data arrived for this request, seconds.
            answered_others: Whether other requests were answered since then.
        """
        if inactive_s < self.first_check_s:
            return InactivityAction.WAIT
        if (
            inactive_s >= self.expected_s * _ABANDON_FACTOR
            and not answered_others
        ):
            return InactivityAction.ABANDON
        return InactivityAction.PROBE
