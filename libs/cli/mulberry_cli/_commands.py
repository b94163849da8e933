"""Declares the commands and options of `mulberrystage` for cappa."""

import dataclasses
from typing import Annotated

import cappa

#: Environment variable with the address of the instance to connect to.
INSTANCE_VARIABLE = "MULBERRYSTAGE_INSTANCE"
#: Address used if neither the option nor the variable is set.
DEFAULT_INSTANCE = "127.0.0.1:7500"


def _examples(*lines: str) -> str:
    return "Examples:\n\n" + "\n".join(f"    {line}" for line in lines)


_Limit = Annotated[
    int, cappa.Arg(long=True, short="-n", help="How many entries to list.")
]
_Operator = Annotated[
    str,
    cappa.Arg(
        long=True,
        help="Who requests the change; the login name by default.",
        show_default=False,
    ),
]


@cappa.command(
    name="check",
    help="Checks a rule file without an instance.",
    description="Prints every error with its line, column, text and a "
    "suggestion. Exits with 1 if there are errors.",
    epilog=_examples("mulberrystage rules check colmenas.rules"),
)
@dataclasses.dataclass(frozen=True)
class RulesCheck:
    """`rules check`."""

    file: Annotated[str, cappa.Arg(help="The rule file.")]


@cappa.command(
    name="diff",
    help="Describes the changes between two rule files.",
    description="With one file, compares the rules in force with it; with "
    "two, needs no instance.",
    epilog=_examples(
        "mulberrystage rules diff colmenas.rules",
        "mulberrystage rules diff old.rules new.rules",
    ),
)
@dataclasses.dataclass(frozen=True)
class RulesDiff:
    """`rules diff`."""

    file: Annotated[str, cappa.Arg(help="The rule file, or the older of two.")]
    newer: Annotated[str, cappa.Arg(help="The newer file.")] = ""


@cappa.command(
    name="show",
    help="Prints accepted rules, ready to be edited.",
    description="The number after `edited-from` is set to that of the rules "
    "printed, so that the output can be edited and submitted.",
    epilog=_examples(
        "mulberrystage rules show > colmenas.rules",
        "mulberrystage rules show 12 --as-submitted",
    ),
)
@dataclasses.dataclass(frozen=True)
class RulesShow:
    """`rules show`."""

    number: Annotated[
        int, cappa.Arg(help="Number of the rules; those in force by default.")
    ] = 0
    as_submitted: Annotated[
        bool, cappa.Arg(long=True, help="Keep the submitted `edited-from`.")
    ] = False


@cappa.command(
    name="submit",
    help="Puts a rule file in force.",
    description="Exits with 1 if the file has errors or if the rules were "
    "changed since it was edited; nothing is changed then.",
    epilog=_examples(
        "mulberrystage rules submit colmenas.rules --operator 'Marta Ajú'"
    ),
)
@dataclasses.dataclass(frozen=True)
class RulesSubmit:
    """`rules submit`."""

    file: Annotated[str, cappa.Arg(help="The rule file.")]
    operator: _Operator = ""


@cappa.command(
    name="history",
    help="Lists accepted rules with their changes, the newest first.",
    epilog=_examples("mulberrystage rules history -n 5"),
)
@dataclasses.dataclass(frozen=True)
class RulesHistory:
    """`rules history`."""

    limit: _Limit = 20


@cappa.command(name="rules", help="Checks, compares and submits rule files.")
@dataclasses.dataclass(frozen=True)
class Rules:
    """`rules`."""

    command: cappa.Subcommands[
        RulesCheck | RulesDiff | RulesShow | RulesSubmit | RulesHistory
    ]


@cappa.command(
    name="status",
    help="Shows instances, upstreams and versions, and since when they are "
    "in effect.",
    epilog=_examples(
        "mulberrystage status",
        "mulberrystage status --instance 10.0.0.4:7500 --json",
    ),
)
@dataclasses.dataclass(frozen=True)
class Status:
    """`status`."""


@cappa.command(
    name="explain",
    help="Explains where a request would be routed and by which rule lines.",
    epilog=_examples(
        "mulberrystage explain cooperativas stand-plan",
        "mulberrystage explain ventas cedro-grande --session 81f2",
    ),
)
@dataclasses.dataclass(frozen=True)
class Explain:
    """`explain`."""

    team: Annotated[str, cappa.Arg(help="Name of the team.")]
    target: Annotated[str, cappa.Arg(help="Name of a kind, model or cascade.")]
    session: Annotated[
        str, cappa.Arg(long=True, help="Session id of the request.")
    ] = ""


@cappa.command(
    name="trace",
    help="Collects the log events of one request from several processes.",
    description="Prints every event of the request, the last routing and "
    "rollout state of the processes that served it, and the events of the "
    "upstreams that it tried. Needs no instance. Exits with 1 if no event "
    "has the request's id.",
    epilog=_examples(
        "mulberrystage trace 9c41d07be2a35f68 front-*.log",
        "mulberrystage trace 9c41d07be2a35f68 day.log --json",
    ),
)
@dataclasses.dataclass(frozen=True)
class Trace:
    """`trace`."""

    request_id: Annotated[str, cappa.Arg(help="Id of the request.")]
    files: Annotated[
        list[str],
        cappa.Arg(
            help="Log files; each may hold several processes.", num_args=-1
        ),
    ]


@cappa.command(
    name="audit",
    help="Lists the audit trail, the newest entry first.",
    epilog=_examples(
        "mulberrystage audit -n 100", "mulberrystage audit --before 4711"
    ),
)
@dataclasses.dataclass(frozen=True)
class Audit:
    """`audit`."""

    limit: _Limit = 50
    before: Annotated[
        int, cappa.Arg(long=True, help="List entries below this number.")
    ] = 0


@cappa.command(
    name="ledger",
    help="Sums and verifies the bills.",
    description="Exits with 1 if the verification finds a fault.",
    epilog=_examples(
        "mulberrystage ledger", "mulberrystage ledger --by team --by kind"
    ),
)
@dataclasses.dataclass(frozen=True)
class Ledger:
    """`ledger`."""

    by: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            choices=["team", "model", "version", "kind"],
            help="Column to sum by; may be given several times. All four by "
            "default.",
        ),
    ] = dataclasses.field(default_factory=list)


@cappa.command(name="list", help="Lists the voters.")
@dataclasses.dataclass(frozen=True)
class VotersList:
    """`voters list`."""


@cappa.command(
    name="add",
    help="Adds a voter; it counts towards the quorum once it has caught up.",
    epilog=_examples("mulberrystage voters add coban-b-2 10.0.0.5:7500"),
)
@dataclasses.dataclass(frozen=True)
class VotersAdd:
    """`voters add`."""

    name: Annotated[str, cappa.Arg(help="Name of the instance.")]
    address: Annotated[str, cappa.Arg(help="Its gRPC address, IP:PORT.")]
    operator: _Operator = ""


@cappa.command(
    name="remove",
    help="Removes a voter.",
    epilog=_examples("mulberrystage voters remove coban-b-1"),
)
@dataclasses.dataclass(frozen=True)
class VotersRemove:
    """`voters remove`."""

    name: Annotated[str, cappa.Arg(help="Name of the instance.")]
    operator: _Operator = ""


@cappa.command(
    name="replace",
    help="Replaces a voter whose disk is lost by a new one.",
    epilog=_examples(
        "mulberrystage voters replace coban-b-1 coban-b-2 10.0.0.5:7500"
    ),
)
@dataclasses.dataclass(frozen=True)
class VotersReplace:
    """`voters replace`."""

    name: Annotated[str, cappa.Arg(help="Name of the lost instance.")]
    new_name: Annotated[str, cappa.Arg(help="Name of the new instance.")]
    new_address: Annotated[str, cappa.Arg(help="Its gRPC address, IP:PORT.")]
    operator: _Operator = ""


@cappa.command(name="voters", help="Lists and changes the voters.")
@dataclasses.dataclass(frozen=True)
class Voters:
    """`voters`."""

    command: cappa.Subcommands[
        VotersList | VotersAdd | VotersRemove | VotersReplace
    ]


@cappa.command(
    name="check",
    help="Checks a routing document before it is submitted.",
    description="Lists what instances would reject, entries without effect, "
    "limits that contradict each other, and the differences from the document "
    "in force. Exits with 1 if there are errors, with 2 if there are only "
    "warnings.",
    epilog=_examples(
        "mulberrystage manifest check routes.json",
        "mulberrystage manifest check routes.json --against 10.0.0.4:82",
        "mulberrystage manifest check new.json --against-file old.json",
        "mulberrystage manifest check routes.json --upstreams pool=56",
    ),
)
@dataclasses.dataclass(frozen=True)
class ManifestCheck:
    """`manifest check`."""

    file: Annotated[str, cappa.Arg(help="The routing document.")]
    against: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="IP:PORT",
            help="Control address of an instance; compares with the document "
            "in force there.",
            show_default=False,
        ),
    ] = ""
    against_file: Annotated[
        str,
        cappa.Arg(
            long=True, help="Compares with this file.", show_default=False
        ),
    ] = ""
    upstreams: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            value_name="SERVICE=COUNT",
            help="Number of upstreams of a service, to check the attempts of "
            "routes; can be repeated.",
            show_default=False,
        ),
    ] = dataclasses.field(default_factory=list)


@cappa.command(name="manifest", help="Checks routing documents.")
@dataclasses.dataclass(frozen=True)
class Manifest:
    """`manifest`."""

    command: cappa.Subcommands[ManifestCheck]


@cappa.command(
    name="mulberrystage",
    help="Operates a mulberrystage deployment.",
    description="Exit codes: 0 done, 1 refused or faults found, 2 wrong "
    "usage or warnings only, 3 the instance could not be asked.",
    epilog=_examples(
        "mulberrystage rules check colmenas.rules",
        "mulberrystage rules submit colmenas.rules",
        "mulberrystage status",
        "mulberrystage explain cooperativas stand-plan",
    )
    + "\n\nShell completion (bash, zsh, fish):\n\n"
    + '    eval "$(mulberrystage --completion generate)"',
)
@dataclasses.dataclass(frozen=True)
class Program:
    """The root command with the options that all commands share."""

    command: cappa.Subcommands[
        Rules | Manifest | Status | Explain | Trace | Audit | Ledger | Voters
    ]
    instance: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            value_name="HOST:PORT",
            default=cappa.Env(INSTANCE_VARIABLE, default=DEFAULT_INSTANCE),
            help="gRPC address of the instance to connect to; the variable "
            f"{INSTANCE_VARIABLE} sets it too.",
        ),
    ]
    json: Annotated[
        bool,
        cappa.Arg(
            long=True, propagate=True, help="Print JSON instead of text."
        ),
    ] = False
    tls_ca: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            help="CA file in PEM format; enables TLS.",
            show_default=False,
        ),
    ] = ""
    tls_certificate: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            help="Certificate file of the operator in PEM format.",
            show_default=False,
        ),
    ] = ""
    tls_key: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            help="Private key file of the operator in PEM format.",
            show_default=False,
        ),
    ] = ""


def selected_command(program: Program) -> object:
    """Returns the innermost subcommand."""
    command: object = program.command
    while isinstance(command, Rules | Manifest | Voters):
        command = command.command
    return command
