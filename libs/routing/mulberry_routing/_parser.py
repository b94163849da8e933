"""Interface for parsers of the operator's routing document."""

import abc
import dataclasses

from mulberry_routing import _table


@dataclasses.dataclass(frozen=True)
class RoutingErrors:
    """Returned instead of a `RoutingTable` when the document is invalid."""

    #: One sentence each: location, value and what is allowed.
    errors: tuple[str, ...]


class RoutingParser(abc.ABC):
    """Parses routing documents of one format."""

    @abc.abstractmethod
    def parse(self, document: bytes) -> _table.RoutingTable | RoutingErrors:
        """Returns the routing table, or all errors in the document."""
