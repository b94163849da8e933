"""When an upstream that sends nothing is left for another one."""

import dataclasses
import enum

#: Part of the time in which a sign of life is expected after which the
#: upstream is probed.
_PROBE_FACTOR = 0.6
#: Multiple of that time after which an upstream that answers nobody is left.
_ABANDON_FACTOR = 2.5
#: Multiple of that time after which an upstream is left that sends bytes, or
#: answers others, but makes no progress with this request. Callers leave at
#: eight times the longest pause.
_STALL_FACTOR = 6.0


class InactivityAction(enum.Enum):
    """What to do about an upstream that sends nothing."""

    WAIT = "wait"
    #: Look whether it still accepts connections.
    PROBE = "probe"
    ABANDON = "leave"


@dataclasses.dataclass(frozen=True)
class InactivityPolicy:
    """Tells a slow upstream from a lost one.

    Answers upstreams that vanish without a reset while requests run on them:
    a connection attempt fails there. One that accepts connections but
    answers nobody is left later. One that is slow under load answers others
    meanwhile and is waited for: leaving it would run the work twice just
    when there is too much of it.
    """

    #: Time in which a sign of life is expected, seconds.
    expected_s: float

    @property
    def first_check_s(self) -> float:
        """Silence after which `next_action` is asked first, seconds."""
        return self.expected_s * _PROBE_FACTOR

    def is_stalled(self, stalled_s: float) -> bool:
        """Whether to leave an upstream that is at work on the request.

        Args:
            stalled_s: For how long this instance has waited for progress,
                seconds.
        """
        return stalled_s >= self.expected_s * _STALL_FACTOR

    def next_action(
        self, inactive_s: float, answered_others: bool
    ) -> InactivityAction:
        """Returns what to do.

        Args:
            inactive_s: For how long nothing came for this request, seconds.
            answered_others: Whether other requests got answers meanwhile.
        """
        if inactive_s < self.first_check_s:
            return InactivityAction.WAIT
        if (
            inactive_s >= self.expected_s * _ABANDON_FACTOR
            and not answered_others
        ):
            return InactivityAction.ABANDON
        return InactivityAction.PROBE
