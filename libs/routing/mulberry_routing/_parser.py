"""How the operator's document becomes a routing table."""

import abc
import dataclasses

from mulberry_routing import _table


@dataclasses.dataclass(frozen=True)
class RoutingErrors:
    """Sentinel: the document is invalid, for the reasons given."""

    #: One sentence each, with the place, the value and what is allowed.
    errors: tuple[str, ...]


class RoutingParser(abc.ABC):
    """Reads documents of one format."""

    @abc.abstractmethod
    def parse(self, document: bytes) -> _table.RoutingTable | RoutingErrors:
        """Returns the table of a document, or everything wrong with it."""
