"""Which prompt parts an engine probably still has in memory."""

import collections
import dataclasses
from collections.abc import Iterator, Sequence

import mulberry_core as core

#: Number of parts that are remembered. Callers choose their ids and sizes, so
#: the sum of the tokens alone would not bound the memory.
_MAX_KEPT_PARTS = 2_000
#: Smallest part that is worth remembering, tokens. Engines keep whole blocks.
_MIN_PART_TOKENS = 16


@dataclasses.dataclass(frozen=True)
class PromptSize:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


class KeptPrompts:
    """Parts that one engine has read lately, within its memory.

    An engine reads no part again that it keeps for the same model if it keeps
    all parts before it. The least recently used parts yield.

    Not thread-safe.
    """

    def __init__(self, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._tokens = 0
        #: Tokens by model and hash of the part, least recently used first.
        self._tokens_by_part: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._tokens_by_part)

    def kept_tokens(self, model: str, parts: Sequence[PromptSize]) -> int:
        """Returns how many tokens of a prompt need not be read."""
        kept = 0
        for key, tokens in _keys(model, parts):
            if key not in self._tokens_by_part:
                break
            kept += tokens
        return kept

    def read(self, model: str, parts: Sequence[PromptSize]) -> None:
        """Records that the engine reads a prompt with these parts."""
        for key, tokens in _keys(model, parts):
            self._tokens += tokens - self._tokens_by_part.pop(key, 0)
            self._tokens_by_part[key] = tokens
        while self._tokens_by_part and (
            self._tokens > self._max_tokens or len(self) > _MAX_KEPT_PARTS
        ):
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._tokens -= tokens


def _keys(
    model: str, parts: Sequence[PromptSize]
) -> Iterator[tuple[tuple[str, int], int]]:
    for part in parts:
        if part.tokens >= _MIN_PART_TOKENS:
            # A hash, because callers choose the length of the id.
            yield (model, core.ring_position(part.id)), part.tokens
