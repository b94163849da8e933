"""Deterministic answers whose last token states their quality."""

import dataclasses
import json
import re
from collections.abc import Sequence
from typing import Any

import mulberry_core as core

_WORDS = (
    "mulberry", "branch", "shade", "frame", "cedar", "hive", "plan", "board",
    "measure", "panel", "notch", "roof", "stand", "letter", "sheet", "leaf",
)  # fmt: skip
_QUALITY = re.compile(r"\(quality (0\.\d\d|1\.00)\)")
#: Maximum difference of an answer's quality from the configured mean.
_SPREAD = 0.05
_SPREAD_STEPS = 101


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The fields of a chat request that determine the answer."""

    model: str
    version: str
    text: str
    streamed: bool
    max_tokens: int | core.Missing


def parse_prompt(body: Any, model: str, version: str) -> Prompt | core.Missing:
    """Parses the body of a chat request; unset if it is malformed."""
    if not isinstance(body, dict):
        return core.Missing.UNSET
    messages = body.get("messages")
    if not isinstance(messages, list):
        return core.Missing.UNSET
    limit = body.get("max_tokens")
    return Prompt(
        model=model or str(body.get("model", "")),
        version=version,
        text=json.dumps(messages, sort_keys=True),
        streamed=body.get("stream") is True,
        max_tokens=limit if isinstance(limit, int) else core.Missing.UNSET,
    )


def generate_tokens(
    prompt: Prompt, count: int, quality: float
) -> Sequence[str]:
    """Returns the tokens of the answer; the last one states its quality.

    They depend only on model, version, prompt, `count` and `quality`, so
    that running a request again gives the same answer.
    """
    if isinstance(prompt.max_tokens, int):
        count = min(count, prompt.max_tokens)
    salt = f"{prompt.model}\x00{prompt.version}"
    start = core.bucket(prompt.text, salt, 1 << 32)
    words = [
        _WORDS[(start // (position + 1) + position) % len(_WORDS)] + " "
        for position in range(max(0, count - 1))
    ]
    step = core.bucket(prompt.text, f"{salt}\x00quality", _SPREAD_STEPS)
    spread = (step / (_SPREAD_STEPS - 1) * 2 - 1) * _SPREAD
    answer_quality = min(1.0, max(0.0, quality + spread))
    return [*words, f"(quality {answer_quality:.2f})"]


def extract_quality(answer: str) -> float | core.Missing:
    """Parses the quality stated in an answer; unset if there is none."""
    found = _QUALITY.search(answer)
    return float(found.group(1)) if found else core.Missing.UNSET


def expected_text(
    model: str, version: str, messages: Any, tokens: int, quality: float
) -> str:
    """Returns the answer text of an engine without faults.

    Args:
        model: Name of the model.
        version: Its version.
        messages: The field `messages` of the request.
        tokens: Option `tokens` of the engine.
        quality: Option `quality` of the engine.
    """
    text = json.dumps(messages, sort_keys=True)
    prompt = Prompt(model, version, text, False, core.Missing.UNSET)
    return "".join(generate_tokens(prompt, tokens, quality))
