"""Which parts of prompts crash the upstreams that run requests with them."""

import dataclasses
from collections.abc import Iterable, Mapping

from mulberry_decisions import _crash_blocks


@dataclasses.dataclass(frozen=True)
class _Evidence:
    """What makes a part a suspect."""

    min_crashes: int
    #: Time over which the crashes must be spread, seconds. Upstreams that are
    #: lost at the same moment have another cause, such as a loss of power.
    min_span_s: float


#: Two crashes meet many requests that only ran beside the one that caused them
#: and were retried together with it.
_USUAL_EVIDENCE = _Evidence(_crash_blocks.BLOCKING_STRIKES, 0.5)
#: For a part of a content that explains as many crashes. The parts of a single
#: request that crashes upstreams may be in all others.
_EVIDENCE_BESIDE_CONTENT = _Evidence(4, 0.5)
#: For a part with which a run was recently sound. Most likely many requests
#: with it run beside the cause, and the next sound run clears it.
_EVIDENCE_AFTER_SOUND_RUN = _Evidence(6, 3.0)
#: A part needs this many crashes that no other cause explains. One of them may
#: have had a reason of its own.
_MIN_UNEXPLAINED = 2
#: A part is blocked if the crashes come from different requests: a single
#: request that crashes upstreams is blocked by its content.
_MIN_CONTENTS = 2
#: Of the candidates with at least this share of the most crashes, the last in
#: the prompt is the cause. Parts before it are in the same requests, and in
#: harmless ones that ran on the same upstreams.
_SIMILAR_SHARE = 0.6


@dataclasses.dataclass(frozen=True)
class CrashedRun:
    """A run with the part, on an upstream that crashed meanwhile."""

    #: Content digest of the request; empty if it is unknown.
    content: str
    #: When the crash became known, seconds, of one clock for all crashes.
    seen_s: float


@dataclasses.dataclass(frozen=True)
class PartCrashes:
    """The crashes of upstreams that ran requests with one part."""

    part: str
    #: Position of the part in the prompt, from 0.
    depth: int
    #: One of the runs with the part, by crash id.
    run_by_crash: Mapping[str, CrashedRun]
    #: Whether a run with the part was recently sound.
    was_sound: bool = False
    #: Whether the part was found to be a cause before.
    was_cause: bool = False


@dataclasses.dataclass(frozen=True)
class ContentCrashes:
    """The crashes of upstreams that ran requests with one content."""

    crashes: frozenset[str]
    #: Shared parts of its prompt.
    parts: frozenset[str]


def crash_causes(
    parts: Iterable[PartCrashes],
    contents: Iterable[ContentCrashes] = (),
) -> Mapping[str, frozenset[str]]:
    """Returns the parts that crash upstreams, with the crashes they explain.

    A crash ends all runs of an upstream, so it counts against many parts, among
    them the first ones of a prompt, which nearly all requests share. A part is
    a cause only by crashes that no other cause explains. A cause that was found
    before stays one until a run with it is sound, since no further crash can
    tell while it is blocked; but it may have been found too soon, so that it
    explains no crash for others.

    Args:
        parts: Crashes since the last sound run with the part.
        contents: Contents with several crashes.

    Returns:
        Crash ids by part.
    """
    candidates = [
        p for p in parts if len(p.run_by_crash) >= _USUAL_EVIDENCE.min_crashes
    ]
    contents = list(contents)
    crashes_by_cause = {
        part.part: frozenset(part.run_by_crash)
        for part in candidates
        if part.was_cause
    }
    explained = frozenset[str]()
    while suspects := [
        part for part in candidates if _is_suspect(part, explained, contents)
    ]:
        suspect = _most_likely(suspects, explained)
        explained |= suspect.run_by_crash.keys()
        # With runs of one request only, the part still explains these crashes
        # better than the parts of the requests beside it.
        if _content_count(suspect) >= _MIN_CONTENTS:
            crashes_by_cause[suspect.part] = frozenset(suspect.run_by_crash)
    return crashes_by_cause


def _without(part: PartCrashes, explained: frozenset[str]) -> PartCrashes:
    return dataclasses.replace(
        part,
        run_by_crash={
            crash: run
            for crash, run in part.run_by_crash.items()
            if crash not in explained
        },
    )


def _content_count(part: PartCrashes) -> int:
    return len({run.content for run in part.run_by_crash.values()})


def _is_suspect(
    part: PartCrashes,
    explained: frozenset[str],
    contents: Iterable[ContentCrashes],
) -> bool:
    unexplained = _without(part, explained)
    if len(unexplained.run_by_crash) < _MIN_UNEXPLAINED:
        return False
    # A part that is usually sound was harmless in crashes with another cause.
    evidence = unexplained if part.was_sound else part
    required = _required_evidence(part, contents)
    if len(evidence.run_by_crash) < required.min_crashes:
        return False
    seen_s = [run.seen_s for run in evidence.run_by_crash.values()]
    return max(seen_s) - min(seen_s) >= required.min_span_s


def _required_evidence(
    part: PartCrashes, contents: Iterable[ContentCrashes]
) -> _Evidence:
    if part.was_sound:
        return _EVIDENCE_AFTER_SOUND_RUN
    is_beside_content = any(
        part.part in content.parts
        and len(content.crashes & part.run_by_crash.keys())
        >= _USUAL_EVIDENCE.min_crashes
        for content in contents
    )
    return _EVIDENCE_BESIDE_CONTENT if is_beside_content else _USUAL_EVIDENCE


def _most_likely(
    suspects: list[PartCrashes], explained: frozenset[str]
) -> PartCrashes:
    """Returns the likeliest cause; parts without sound runs come first."""
    suspects = [p for p in suspects if not p.was_sound] or suspects
    count_by_part = {
        p.part: len(_without(p, explained).run_by_crash) for p in suspects
    }
    most = max(count_by_part.values())
    return max(
        (p for p in suspects if count_by_part[p.part] >= _SIMILAR_SHARE * most),
        key=lambda p: (
            p.depth,
            count_by_part[p.part],
            _content_count(p),
            p.part,
        ),
    )
