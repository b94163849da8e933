"""The only key of the only tenant is taken away from connected clients."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins2"))

import parts

_FOLDER = pathlib.Path(__file__).parent
_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: More than `RevokeMs`.
_PAUSE_S = 6.0
_NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"


def _play(record: parts.Record, system: parts.Deployment) -> bool:
    """Returns whether the rules held."""
    workers = [system.add_worker("taller-app") for _ in system.nodes]
    routes = [parts.route("/orders/", "unsafe", "taller-app")]
    system.start(parts.manifest(1, routes))
    channels: list[parts.Channel] = []
    for node in system.nodes:
        front = node.address("Front")
        parts.wait_served(front, record, "POST", "/orders/a")
        channels.append(parts.Channel(front, record))
    for number, channel in enumerate(channels):
        before = channel.exchange(
            "POST", "/orders/a", f"before-{number}", b"an order"
        )
        stranger = channel.exchange(
            "POST", "/orders/a", f"early-{number}", b"x", key=_NEVER_HELD
        )
        if (before.status, stranger.status) != (200, 401):
            raise parts.Unplayable("keys are not checked in calm")
    if _TROUBLE:
        system.replace(parts.manifest(2, routes, Tenants=[]))
    else:
        system.replace(parts.manifest(2, routes))
    time.sleep(_PAUSE_S)
    for number, channel in enumerate(channels):
        channel.exchange("POST", "/orders/a", f"after-{number}", b"an order")
        channel.exchange(
            "POST", "/orders/a", f"strange-{number}", b"x", key=_NEVER_HELD
        )
        channel.close()
    time.sleep(0.3)
    runs = [run for worker in workers for run in worker.runs()]
    for run in runs:
        record.note(f"run: {run}")
    forbidden = ("strange-", "after-") if _TROUBLE else ("strange-",)
    broken = [run["id"] for run in runs if run["id"].startswith(forbidden)]
    record.note(f"ran although no tenant holds the key: {broken}")
    return not broken


if __name__ == "__main__":
    sys.exit(parts.play(_FOLDER, _play))
