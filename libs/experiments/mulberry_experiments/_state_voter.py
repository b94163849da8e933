"""A single voter process for measurements.

Usage: `python -m mulberry_experiments._state_voter JSON`. Exits on SIGTERM.
"""

import json
import pathlib
import sys
import threading
from concurrent import futures

import grpc

import mulberry_core as core
import mulberry_state as state


def main() -> None:
    """Runs the voter described by the JSON argument."""
    spec = json.loads(sys.argv[1])
    stop = threading.Event()
    core.call_on_termination(lambda count: stop.set())
    threads = futures.ThreadPoolExecutor(state.SERVER_THREADS)
    server = grpc.server(threads, options=state.CHANNEL_OPTIONS)
    server.add_insecure_port(spec["listen"])
    node = state.StateNode(
        spec["name"],
        spec["voters"][spec["name"]],
        spec["voters"],
        pathlib.Path(spec["folder"]),
        core.SystemClock(),
    )
    node.add_to(server)
    server.start()
    node.start()
    stop.wait()
    node.stop()
    server.stop(0.5).wait()


if __name__ == "__main__":
    main()
