"""Which prompt parts an engine probably still has in memory."""

import collections
import dataclasses
from collections.abc import Sequence


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
        #: Tokens by model and id of the part, least recently used first.
        self._tokens_by_part: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )

    def kept_tokens(self, model: str, parts: Sequence[PromptSize]) -> int:
        """Returns how many tokens of a prompt need not be read."""
        kept = 0
        for part in parts:
            if (model, part.id) not in self._tokens_by_part:
                break
            kept += part.tokens
        return kept

    def read(self, model: str, parts: Sequence[PromptSize]) -> None:
        """Records that the engine reads a prompt with these parts."""
        for part in parts:
            key = (model, part.id)
            self._tokens += part.tokens - self._tokens_by_part.pop(key, 0)
            self._tokens_by_part[key] = part.tokens
        while self._tokens > self._max_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._tokens -= tokens
