"""Interface for checks of a routing document before it is submitted."""

import abc
import dataclasses
from collections.abc import Mapping

import mulberry_core as core


@dataclasses.dataclass(frozen=True)
class DocumentReport:
    """What a check found; each finding is one sentence."""

    #: Version of the document; unset if it cannot be read.
    version: int | core.Missing
    #: Why instances would reject the document.
    errors: tuple[str, ...] = ()
    #: Entries without effect, and limits that contradict each other.
    warnings: tuple[str, ...] = ()
    #: Differences from the document that it is compared with.
    changes: tuple[str, ...] = ()


class DocumentChecker(abc.ABC):
    """Checks routing documents of one format.

    The package of a format registers its checker at the entry point group
    `mulberrystage.document_checkers`; the class is created without arguments.
    """

    @abc.abstractmethod
    def check(
        self,
        document: bytes,
        in_force: bytes | core.Missing,
        upstreams_by_service: Mapping[str, int],
    ) -> DocumentReport:
        """Checks a document without I/O.

        Args:
            document: The document to check.
            in_force: A valid document to compare with; unset for none.
            upstreams_by_service: Numbers of upstreams, where they are known.
        """

    @abc.abstractmethod
    def fetch_in_force(self, address: str) -> bytes | core.Refusal:
        """Returns the document in force at the instance with an address."""
