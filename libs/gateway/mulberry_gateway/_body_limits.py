"""Memory limits for requests and answers."""

import mulberry_core as core

#: Status line and headers of an answer, including interim answers. Also limits
#: the bytes between two parts of a body, such as chunk extensions and
#: trailers. Four times the default limit for callers' headers.
MAX_HEAD_BYTES = 65_536
#: One event of a stream. Events of engines take some tens of bytes per token.
MAX_EVENT_BYTES = 262_144
#: One answer that is buffered completely before it is forwarded: twice the
#: default limit for callers' bodies.
MAX_ANSWER_BYTES = 8 << 20
#: All answers that are buffered at one time, whatever the memory budget of the
#: process allows.
TOTAL_BODY_BYTES = 32 << 20


def for_answers() -> core.BodyLimits:
    """Returns limits for buffered answers."""
    return core.BodyLimits(MAX_ANSWER_BYTES, TOTAL_BODY_BYTES)
