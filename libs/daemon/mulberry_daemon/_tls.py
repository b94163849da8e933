"""TLS for instances, operators and callers, with reload of replaced files."""

import pathlib
import ssl
import threading

import grpc
from absl import logging
from cheroot.ssl import builtin

import mulberry_core as core
import mulberry_rules as rules

_CHECK_PERIOD_S = 2.0

_Stamp = tuple[int, ...]


class TlsFiles:
    """Loads certificate, key and CA files and reloads replaced ones."""

    def __init__(self, tls: rules.Tls) -> None:
        self._tls = tls
        self._lock = threading.Lock()
        self._contexts: list[ssl.SSLContext] = []
        self._loaded_stamp = self.stamp()

    def stamp(self) -> _Stamp:
        """Returns the modification times of the files."""
        return tuple(
            pathlib.Path(path).stat().st_mtime_ns
            for path in (
                self._tls.certificate_file,
                self._tls.key_file,
                self._tls.ca_file,
            )
        )

    def start(self, timers: core.TimerService) -> None:
        """Checks for replaced files every two seconds."""
        timers.every(_CHECK_PERIOD_S, self.reload, "tls files")

    def reload(self) -> None:
        """Loads replaced files for new HTTP connections."""
        try:
            stamp = self.stamp()
            if stamp == self._loaded_stamp:
                return
            with self._lock:
                for context in self._contexts:
                    context.load_cert_chain(
                        self._tls.certificate_file, self._tls.key_file
                    )
            self._loaded_stamp = stamp
            logging.info("TLS files were replaced")
        except (OSError, ssl.SSLError) as error:
            # Replaced only partly: the old files stay in use until key and
            # certificate match.
            logging.warning("TLS files cannot be used yet: %s", error)

    def http_adapter(self) -> builtin.BuiltinSSLAdapter:
        """Returns the TLS adapter of the HTTP server."""
        adapter = builtin.BuiltinSSLAdapter(
            self._tls.certificate_file, self._tls.key_file
        )
        with self._lock:
            self._contexts.append(adapter.context)
        return adapter

    def server_credentials(self) -> grpc.ServerCredentials:
        """Returns server credentials that reload replaced files.

        Clients, which are instances and operators, must present a certificate
        signed by the configured CA.
        """
        state = {"stamp": self.stamp()}

        def fetch() -> grpc.ServerCertificateConfiguration | None:
            try:
                stamp = self.stamp()
                if stamp == state["stamp"]:
                    return None
                configuration = self._configuration()
            except OSError:
                return None
            state["stamp"] = stamp
            return configuration

        return grpc.dynamic_ssl_server_credentials(
            self._configuration(),
            fetch,  # type: ignore[arg-type]
            require_client_authentication=True,
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Returns credentials for new channels, from the current files."""
        key, certificate, authorities = self._read()
        return grpc.ssl_channel_credentials(authorities, key, certificate)

    def _configuration(self) -> grpc.ServerCertificateConfiguration:
        key, certificate, authorities = self._read()
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], authorities
        )

    def _read(self) -> tuple[bytes, bytes, bytes]:
        return (
            pathlib.Path(self._tls.key_file).read_bytes(),
            pathlib.Path(self._tls.certificate_file).read_bytes(),
            pathlib.Path(self._tls.ca_file).read_bytes(),
        )
