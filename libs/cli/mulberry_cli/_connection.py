"""gRPC client of the operator service of one instance."""

import dataclasses
import pathlib
import time
from typing import Any

import grpc

from mulberry_wire import operator_pb2_grpc

#: Timeout of one attempt, seconds. Submitting rules may have to wait for an
#: election (under 2 s) and for a quorum.
_TIMEOUT_S = 10.0
#: Retries are safe: requests that change state carry a command id, so that a
#: repeated command is applied once.
_ATTEMPTS = 3
_RETRY_DELAY_S = 0.5
_RETRYABLE_CODES = (
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED,
)


@dataclasses.dataclass(frozen=True)
class Failure:
    """A call that got no reply, returned in place of one."""

    #: Error message for the operator.
    reason: str


class Connection:
    """Calls the operator service; opens a channel for each call."""

    def __init__(
        self, address: str, credentials: grpc.ChannelCredentials | Failure
    ) -> None:
        self._address = address
        self._credentials = credentials

    def call(self, method: str, request: object) -> Any:
        """Calls a method of the service, retrying transient errors.

        Returns:
            The reply, or a `Failure` if the last attempt failed too or the
            error is not transient.
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
        # Connects directly: a proxy from the environment may not be able to
        # reach the instance.
        options = [("grpc.enable_http_proxy", 0)]
        if credentials is PLAIN_TEXT:
            return grpc.insecure_channel(self._address, options=options)
        return grpc.secure_channel(self._address, credentials, options=options)


#: Marks a connection without TLS; compared by identity.
PLAIN_TEXT = grpc.ChannelCredentials(None)


def read_credentials(
    ca_file: str, certificate_file: str, key_file: str
) -> grpc.ChannelCredentials | Failure:
    """Loads TLS credentials; returns `PLAIN_TEXT` without a CA file."""
    if not ca_file:
        if certificate_file or key_file:
            return Failure("--tls-certificate and --tls-key require --tls-ca")
        return PLAIN_TEXT
    try:
        contents = [
            pathlib.Path(path).read_bytes() if path else None
            for path in (ca_file, key_file, certificate_file)
        ]
    except OSError as error:
        return Failure(f"cannot read {error.filename}: {error.strerror}")
    return grpc.ssl_channel_credentials(*contents)
