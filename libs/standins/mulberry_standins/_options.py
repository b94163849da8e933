"""Command line of the stand-ins."""

import argparse
import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True)
class Options:
    """Configuration of one stand-in."""

    #: `engine`, `service`, `rater` or `weights`.
    role: str
    #: Name of the upstream; derived from role and port if empty.
    name: str = ""
    zone: str = "zone-a"
    #: Port to listen on; 0 lets the system choose one.
    port: int = 0
    #: `IP:PORT` of entries to announce to.
    entries: tuple[str, ...] = ()
    announce_key: str = ""
    #: (model, version) pairs that an engine has loaded at its start.
    serves: tuple[tuple[str, str], ...] = ()
    #: Name of the plain service.
    service: str = ""
    #: Maximum number of requests that run concurrently; others wait.
    capacity: int = 64
    #: Maximum number of waiting requests; more are refused.
    max_queue: int = 64
    #: Age of the reported load, seconds.
    load_lag_s: float = 0.5
    tokens_per_s: float = 40.0
    first_token_ms: float = 20.0
    #: Tokens of one answer.
    tokens: int = 40
    #: Mean quality of answers, 0 to 1.
    quality: float = 0.95
    #: Seconds to load a version.
    load_s: float = 2.0
    #: Whether orders with an outdated fencing number are rejected.
    checks_fencing: bool = True
    #: Age at which a cache event is published, seconds.
    cache_lag_s: float = 1.0
    #: Milliseconds that a service call or a rating takes.
    work_ms: float = 2.0
    #: Maximum number of loads per minute that the weight store serves.
    loads_per_minute: float = 30.0
    #: Minimum time between the first `leaving` announcement and the exit,
    #: seconds.
    leave_s: float = 3.5
    #: Maximum time to wait for running requests after that, seconds.
    finish_s: float = 60.0


def _parse_served_version(text: str) -> tuple[str, str]:
    model, at, version = text.partition("@")
    if not (model and at and version):
        raise argparse.ArgumentTypeError("expected MODEL@VERSION")
    return model, version


def parse_options(arguments: Sequence[str]) -> Options:
    """Parses the command line; exits with a message if it is invalid."""
    parser = argparse.ArgumentParser(
        prog="mulberrystage-standin",
        description="Stand-in engine, plain service, rater or weight store. "
        "Prints one JSON line with its address, then serves until SIGTERM.",
    )
    parser.add_argument(
        "role", choices=("engine", "service", "rater", "weights")
    )
    parser.add_argument(
        "--entry",
        dest="entries",
        action="append",
        default=[],
        metavar="IP:PORT",
        help="entry to announce to; may be repeated",
    )
    parser.add_argument(
        "--serves",
        action="append",
        default=[],
        type=_parse_served_version,
        metavar="MODEL@VERSION",
        help="version that the engine has loaded; may be repeated",
    )
    parser.add_argument(
        "--ignores-fencing", dest="checks_fencing", action="store_false"
    )
    explicit_fields = {"role", "entries", "serves", "checks_fencing"}
    for field in dataclasses.fields(Options):
        if field.name not in explicit_fields:
            parser.add_argument(
                "--" + field.name.replace("_", "-"),
                type=type(field.default),
                default=field.default,
                help=f"default: {field.default!r}",
            )
    values = vars(parser.parse_args(arguments))
    for name in ("entries", "serves"):
        values[name] = tuple(values[name])
    return Options(**values)
