"""Asks one instance."""

import dataclasses
import pathlib
import time
from typing import Any

import grpc

from mulberry_wire import operator_pb2_grpc

#: Longest wait for one reply, seconds. Submitting may wait for an election
#: (under 2 s) and for a quorum.
_TIMEOUT_S = 10.0
#: Requests carry command ids, so sending one again changes nothing twice.
_ATTEMPTS = 3
_RETRY_DELAY_S = 0.5
_RETRYABLE_CODES = (
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED,
)


@dataclasses.dataclass(frozen=True)
class Failure:
    """Returned in place of a reply."""

    #: What happened, for the operator.
    reason: str


class Connection:
    """A gRPC connection to the operator service of one instance."""

    def __init__(
        self, address: str, credentials: grpc.ChannelCredentials | Failure
    ) -> None:
        self._address = address
        self._credentials = credentials

    def call(self, method: str, request: object) -> Any:
        """Calls a method of the service.

        Returns:
            The reply, or a `Failure` after the last attempt.
        """
        if isinstance(self._credentials, Failure):
            return self._credentials
        reason = ""
        with self._channel(self._credentials) as channel:
            stub: Any = operator_pb2_grpc.OperatorStub(channel)  # type: ignore[no-untyped-call]
            for attempt in range(_ATTEMPTS):
                time.sleep(_RETRY_DELAY_S if attempt else 0.0)
                try:
                    return getattr(stub, method)(request, timeout=_TIMEOUT_S)
                except grpc.RpcError as error:
                    reason = f"{self._address}: {error.details()}"
                    if error.code() not in _RETRYABLE_CODES:
                        break
        return Failure(reason)

    def _channel(self, credentials: grpc.ChannelCredentials) -> grpc.Channel:
        # The address is meant as it stands; a proxy would not reach it.
        options = [("grpc.enable_http_proxy", 0)]
        if credentials is PLAIN_TEXT:
            return grpc.insecure_channel(self._address, options=options)
        return grpc.secure_channel(self._address, credentials, options=options)


#: Stands for a connection without TLS.
PLAIN_TEXT = grpc.ChannelCredentials(None)


def read_credentials(
    ca_file: str, certificate_file: str, key_file: str
) -> grpc.ChannelCredentials | Failure:
    """Reads the files of a TLS connection; without a CA file there is none."""
    if not ca_file:
        if certificate_file or key_file:
            return Failure("TLS needs --tls-ca as well")
        return PLAIN_TEXT
    try:
        contents = [
            pathlib.Path(path).read_bytes() if path else None
            for path in (ca_file, key_file, certificate_file)
        ]
    except OSError as error:
        return Failure(f"cannot read {error.filename}: {error.strerror}")
    return grpc.ssl_channel_credentials(*contents)
