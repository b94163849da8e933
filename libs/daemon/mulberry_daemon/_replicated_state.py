"""Access of one instance to the replicated state."""

import dataclasses
import pathlib

import grpc

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state


@dataclasses.dataclass(frozen=True)
class ReplicatedState:
    """The voter, client and reader of the replicated state."""

    #: The voter of this instance; unset if it is not a voter.
    node: state.StateNode | core.Missing
    client: state.RemoteStateClient
    reader: state.StateReader

    def add_to(self, server: grpc.Server) -> None:
        """Registers the gRPC services of the voter, if there is one."""
        if isinstance(self.node, state.StateNode):
            self.node.add_to(server)

    def start(self) -> None:
        """Starts the voter, then the renewal of the rules lease."""
        if isinstance(self.node, state.StateNode):
            self.node.start()
        self.client.start()

    def stop(self) -> None:
        """Stops the lease renewal, then the voter, after a leader transfer."""
        self.client.stop()
        if isinstance(self.node, state.StateNode):
            self.node.stop()


def open_replicated_state(
    settings: rules.Settings,
    clock: core.Clock,
    counters: core.Counters,
    open_channel: state.OpenChannel,
) -> ReplicatedState:
    """Creates the client and reader, and the voter if configured.

    Raises:
        StorageError: The data folder cannot be used.
    """
    client = state.RemoteStateClient(
        settings.name,
        tuple(settings.voters_by_name.values()) or settings.peers,
        clock,
        settings.timing,
        open_channel=open_channel,
        counters=counters,
    )
    node: state.StateNode | core.Missing = core.Missing.UNSET
    if settings.voter and isinstance(settings.data_dir, str):
        node = state.StateNode(
            settings.name,
            settings.grpc_address,
            settings.voters_by_name,
            pathlib.Path(settings.data_dir),
            clock,
            settings.timing,
            open_channel=open_channel,
        )
    return ReplicatedState(
        node, client, state.StateReader(client.voter_client, clock)
    )
