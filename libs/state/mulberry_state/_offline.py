"""Offline reading of the data folder of a stopped voter."""

import pathlib

from mulberry_state import _applier, _disk, _log, _machine, _parser


def read_folder(
    folder: pathlib.Path, name: str
) -> tuple[_machine.StateMachine, int]:
    """Returns the state with all log records applied, and the last term.

    The newest records may lack a quorum: read the folder of the voter with
    the highest term and index after a time without proposals. Opening a log
    may truncate a torn tail, so read a copy if the voter is to start again.

    Raises:
        StorageError: The folder cannot be used or is corrupt.
    """
    log = _log.Log(_disk.OsDisk(folder), name)
    try:
        machine = _machine.StateMachine(_parser.FileRulesParser())
        state = log.take_state()
        if state:
            machine.restore(state)
        first = max(log.first_index, machine.index + 1)
        for index in range(first, log.last.index + 1):
            _applier.apply_record(machine, log.record(index))
        return machine, log.last.term
    finally:
        log.close()
