"""Replicated log and state machine."""

import typing

import mulberry_core as core

if typing.TYPE_CHECKING:
    from mulberry_state._audit import (
        AuditRecord,
    )
    from mulberry_state._channels import (
        CHANNEL_OPTIONS,
        OpenChannel,
        open_insecure,
    )
    from mulberry_state._claims import (
        Claim,
    )
    from mulberry_state._client import (
        StateClient,
    )
    from mulberry_state._commands import (
        NO_STEP,
        AcquireLease,
        AdvanceRollout,
        Answer,
        BeginServiceRollout,
        Bill,
        BillMismatch,
        BillRecorded,
        ClaimCall,
        ClaimGranted,
        ClaimLost,
        ClaimMismatch,
        ClaimOpen,
        ClaimRecorded,
        ClaimReleased,
        ClaimSettled,
        ClearStrikes,
        Command,
        CrashRecorded,
        LeaseGranted,
        LeaseHeld,
        LeaseLost,
        MoveServiceRollout,
        OrderRecorded,
        OrderState,
        PinSession,
        RecordBill,
        RecordCrash,
        RecordOrder,
        RecordVerdict,
        ReleaseClaim,
        ReplaceRouting,
        Result,
        RolloutAdvanced,
        RolloutPhase,
        RolloutStale,
        RoutingReplaced,
        RulesAccepted,
        RulesConflict,
        RulesRejected,
        ServiceRolloutBegun,
        ServiceRolloutMoved,
        SessionPinned,
        SettleClaim,
        StrikesCleared,
        SubmitRules,
        VerdictRecorded,
        VerdictStale,
        VerdictState,
    )
    from mulberry_state._disk import (
        Disk,
        OsDisk,
        StorageError,
    )
    from mulberry_state._group import (
        ChangeRefused,
    )
    from mulberry_state._invariants import (
        InvariantError,
    )
    from mulberry_state._ledger import (
        LedgerSum,
    )
    from mulberry_state._local import (
        LocalStateClient,
    )
    from mulberry_state._machine import (
        Stamp,
        StateMachine,
    )
    from mulberry_state._node import (
        SERVER_THREADS,
        StateNode,
    )
    from mulberry_state._offline import (
        read_folder,
    )
    from mulberry_state._parser import (
        FileRulesParser,
        RulesParser,
    )
    from mulberry_state._proposal_queue import (
        ProposalQueue,
    )
    from mulberry_state._reader import (
        StateReader,
    )
    from mulberry_state._remote import (
        RemoteStateClient,
        new_command_id,
    )
    from mulberry_state._reports import (
        LedgerReport,
        NodeStatus,
        VoterStatus,
    )
    from mulberry_state._rulebook import (
        RulesText,
    )
    from mulberry_state._view import (
        EMPTY_VIEW,
        NO_ROUTING,
        RolloutStep,
        RoutingDocument,
        ServiceRollout,
        Verdict,
        View,
        crash_id,
    )
    from mulberry_state._voter_client import (
        VoterClient,
    )
    from mulberry_state._voter_reconciler import (
        VoterCandidate,
    )
else:
    __getattr__ = core.import_on_demand(
        __name__,
        {
            "_audit": ("AuditRecord",),
            "_voter_client": ("VoterClient",),
            "_channels": (
                "CHANNEL_OPTIONS",
                "OpenChannel",
                "open_insecure",
            ),
            "_claims": ("Claim",),
            "_client": ("StateClient",),
            "_commands": (
                "NO_STEP",
                "AcquireLease",
                "AdvanceRollout",
                "Answer",
                "BeginServiceRollout",
                "Bill",
                "BillMismatch",
                "BillRecorded",
                "ClaimCall",
                "ClaimGranted",
                "ClaimLost",
                "ClaimMismatch",
                "ClaimOpen",
                "ClaimRecorded",
                "ClaimReleased",
                "ClaimSettled",
                "ClearStrikes",
                "Command",
                "CrashRecorded",
                "LeaseGranted",
                "LeaseHeld",
                "LeaseLost",
                "MoveServiceRollout",
                "OrderRecorded",
                "OrderState",
                "PinSession",
                "RecordBill",
                "RecordCrash",
                "RecordOrder",
                "RecordVerdict",
                "ReleaseClaim",
                "ReplaceRouting",
                "Result",
                "RolloutAdvanced",
                "RolloutPhase",
                "RolloutStale",
                "RoutingReplaced",
                "RulesAccepted",
                "RulesConflict",
                "RulesRejected",
                "ServiceRolloutBegun",
                "ServiceRolloutMoved",
                "SessionPinned",
                "SettleClaim",
                "StrikesCleared",
                "SubmitRules",
                "VerdictRecorded",
                "VerdictStale",
                "VerdictState",
            ),
            "_disk": (
                "Disk",
                "OsDisk",
                "StorageError",
            ),
            "_group": ("ChangeRefused",),
            "_invariants": ("InvariantError",),
            "_ledger": ("LedgerSum",),
            "_local": ("LocalStateClient",),
            "_machine": (
                "Stamp",
                "StateMachine",
            ),
            "_node": (
                "SERVER_THREADS",
                "StateNode",
            ),
            "_offline": ("read_folder",),
            "_parser": (
                "FileRulesParser",
                "RulesParser",
            ),
            "_proposal_queue": ("ProposalQueue",),
            "_reader": ("StateReader",),
            "_remote": (
                "RemoteStateClient",
                "new_command_id",
            ),
            "_reports": (
                "LedgerReport",
                "NodeStatus",
                "VoterStatus",
            ),
            "_rulebook": ("RulesText",),
            "_voter_reconciler": ("VoterCandidate",),
            "_view": (
                "EMPTY_VIEW",
                "NO_ROUTING",
                "RolloutStep",
                "RoutingDocument",
                "ServiceRollout",
                "Verdict",
                "View",
                "crash_id",
            ),
        },
    )

__all__ = [
    "CHANNEL_OPTIONS",
    "EMPTY_VIEW",
    "NO_ROUTING",
    "NO_STEP",
    "SERVER_THREADS",
    "AcquireLease",
    "AdvanceRollout",
    "Answer",
    "AuditRecord",
    "BeginServiceRollout",
    "Bill",
    "BillMismatch",
    "BillRecorded",
    "ChangeRefused",
    "Claim",
    "ClaimCall",
    "ClaimGranted",
    "ClaimLost",
    "ClaimMismatch",
    "ClaimOpen",
    "ClaimRecorded",
    "ClaimReleased",
    "ClaimSettled",
    "ClearStrikes",
    "Command",
    "CrashRecorded",
    "Disk",
    "FileRulesParser",
    "InvariantError",
    "LeaseGranted",
    "LeaseHeld",
    "LeaseLost",
    "LedgerReport",
    "LedgerSum",
    "LocalStateClient",
    "MoveServiceRollout",
    "NodeStatus",
    "OpenChannel",
    "OrderRecorded",
    "OrderState",
    "OsDisk",
    "PinSession",
    "ProposalQueue",
    "RecordBill",
    "RecordCrash",
    "RecordOrder",
    "RecordVerdict",
    "ReleaseClaim",
    "RemoteStateClient",
    "ReplaceRouting",
    "Result",
    "RolloutAdvanced",
    "RolloutPhase",
    "RolloutStale",
    "RolloutStep",
    "RoutingDocument",
    "RoutingReplaced",
    "RulesAccepted",
    "RulesConflict",
    "RulesParser",
    "RulesRejected",
    "RulesText",
    "ServiceRollout",
    "ServiceRolloutBegun",
    "ServiceRolloutMoved",
    "SessionPinned",
    "SettleClaim",
    "Stamp",
    "StateClient",
    "StateMachine",
    "StateNode",
    "StateReader",
    "StorageError",
    "StrikesCleared",
    "SubmitRules",
    "Verdict",
    "VerdictRecorded",
    "VerdictStale",
    "VerdictState",
    "View",
    "VoterCandidate",
    "VoterClient",
    "VoterStatus",
    "crash_id",
    "new_command_id",
    "open_insecure",
    "read_folder",
]
