"""Reads the run records of upstreams and the rules numbers of instances."""

import contextlib
import threading
import time

import grpc

from mulberry_experiments import _demo
from mulberry_experiments._soak import _history, _soak_deployment
from mulberry_wire import operator_pb2, operator_pb2_grpc

_RUNS_PERIOD_S = 0.2
_STATUS_PERIOD_S = 1.0
_STATUS_TIMEOUT_S = 1.0


class RunWatcher:
    """Polls `/runs` of every upstream.

    An upstream loses its record when it is killed, including runs since the
    last poll. This can hide a violation but never cause a false one.
    """

    def __init__(
        self,
        deployment: _soak_deployment.SoakDeployment,
        history: _history.History,
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._lock = threading.Lock()
        #: Number of runs already read, and time of the last request.
        self._seen_by_pid: dict[int, tuple[int, float]] = {}

    def watch(self, stop: threading.Event) -> None:
        """Polls until `stop` is set."""
        while not stop.wait(_RUNS_PERIOD_S):
            self.read_all()

    def read_all(self) -> None:
        """Reads every running upstream once."""
        for name in tuple(self._deployment.upstreams_by_name):
            self.read(name)

    def read(self, name: str) -> None:
        """Reads the new runs of one upstream if it is running."""
        with self._lock, contextlib.suppress(OSError, ValueError):
            process = self._deployment.upstreams_by_name[name]
            if process.popen.poll() is not None:
                return
            count, started_after_s = self._seen_by_pid.get(
                process.pid, (0, 0.0)
            )
            asked_s = time.time()
            keys = _demo.runs(process)
            answered_s = time.time()
            for key in keys[count:]:
                self._history.add_run(
                    _history.Run(
                        key,
                        name,
                        process.metadata["model"],
                        process.metadata["version"],
                        started_after_s,
                        answered_s,
                    )
                )
            self._seen_by_pid[process.pid] = (len(keys), asked_s)


def watch_rules_numbers(
    deployment: _soak_deployment.SoakDeployment,
    history: _history.History,
    stop: threading.Event,
) -> None:
    """Records the rules number of every instance until `stop` is set."""
    while not stop.wait(_STATUS_PERIOD_S):
        for name in tuple(deployment.instances_by_name):
            pid = deployment.instances_by_name[name].pid
            number = read_rules_number(deployment, name)
            if number > 0:
                history.add_rules_number(name, pid, number)


def read_rules_number(
    deployment: _soak_deployment.SoakDeployment, name: str
) -> int:
    """Returns the rules number of an instance, 0 if it does not answer."""
    with grpc.insecure_channel(deployment.grpc_address(name)) as channel:
        stub = operator_pb2_grpc.OperatorStub(channel)  # type: ignore[no-untyped-call]
        try:
            status = stub.GetStatus(
                operator_pb2.GetStatusRequest(), timeout=_STATUS_TIMEOUT_S
            )
        except grpc.RpcError:
            return 0
        return int(status.rules_number)
