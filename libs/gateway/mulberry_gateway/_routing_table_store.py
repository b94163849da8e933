"""Holds the current routing table, parsed once per version."""

import threading

from absl import logging

import mulberry_core as core
import mulberry_routing as routing
import mulberry_state as state


class RoutingTableStore:
    """Parses the replicated routing document; never applies an older one."""

    def __init__(
        self,
        client: state.StateClient,
        parser: routing.RoutingParser,
        log: core.DecisionLog,
    ) -> None:
        self._parser = parser
        self._log = log
        self._lock = threading.Lock()
        self._table: routing.RoutingTable | core.Missing = core.Missing.UNSET
        client.subscribe(self.apply_view)

    @property
    def table(self) -> routing.RoutingTable | core.Missing:
        """The current table, unset before the first."""
        return self._table

    def apply_view(self, view: state.View) -> None:
        """Applies the document of a view if its version is higher."""
        document = view.routing
        with self._lock:
            current = self._table
            version = (
                0 if isinstance(current, core.Missing) else current.version
            )
            if document.version <= version:
                return
            parsed = self._parser.parse(document.document)
            if isinstance(parsed, routing.RoutingErrors):
                logging.error(
                    "cannot parse routing document version %d: %s",
                    document.version,
                    parsed.errors[0],
                )
                return
            self._table = parsed
        self._log.note(
            "routing_in_force",
            keep=True,
            version=document.version,
            replaced=version,
            revision=view.revision,
            routes=len(parsed.routes),
            requires_key=parsed.requires_key,
        )
