"""How much memory requests and answers may take."""

import mulberry_core as core

#: Status line and headers of an answer, interim answers before it included;
#: also what may come between two parts of a body, as trailers and chunk
#: extensions do. Four times what callers may send by default.
MAX_HEAD_BYTES = 65_536
#: One event of a stream. Events of engines have some tens of bytes a token.
MAX_EVENT_BYTES = 262_144
#: One answer that is kept whole before it is forwarded: twice the largest
#: body that callers may send by default.
MAX_ANSWER_BYTES = 8 << 20
#: All answers that are kept whole at one time, and all bodies of requests at
#: one listener. An instance has 200 MB, of which a running daemon takes 70.
TOTAL_BODY_BYTES = 32 << 20


def for_answers() -> core.BodyLimits:
    """Returns limits for answers that are kept whole."""
    return core.BodyLimits(MAX_ANSWER_BYTES, TOTAL_BODY_BYTES)


def for_requests() -> core.BodyLimits:
    """Returns limits for bodies of requests, whose own bound is a setting."""
    return core.BodyLimits(TOTAL_BODY_BYTES, TOTAL_BODY_BYTES)
