"""TLS credentials of a gRPC listener, reloaded when the operator replaces their files.

Importing this module imports gRPC.
"""

from __future__ import annotations

from typing import TypeAlias

import grpc

from shelfhaven.operator_config import Tls

ModificationTimes: TypeAlias = tuple[float, ...]  # of the files; 0.0 for one that is missing


class CertificateFiles:
    """The certificate files of a listener, with the modification times of the version in use."""

    def __init__(self, tls: Tls) -> None:
        self.tls = tls
        self.modification_times = self._read_modification_times()

    def load(self) -> grpc.ServerCertificateConfiguration:
        """Read the files.

        Raises:
            OSError: a file cannot be read.
        """
        key_pairs = [(self.tls.key.read_bytes(), self.tls.certificate.read_bytes())]
        client_ca = self.tls.client_ca.read_bytes() if self.tls.client_ca else None
        return grpc.ssl_server_certificate_configuration(key_pairs, client_ca)

    def load_if_changed(self) -> grpc.ServerCertificateConfiguration | None:
        """Read the files if they have changed.

        Return None, which keeps the current certificate in use, if they have not or cannot be read.
        """
        modification_times = self._read_modification_times()
        if modification_times == self.modification_times:
            return None
        try:
            configuration = self.load()
        except OSError:
            return None
        self.modification_times = modification_times
        return configuration

    def _read_modification_times(self) -> ModificationTimes:
        paths = [path for path in (self.tls.key, self.tls.certificate, self.tls.client_ca) if path]
        return tuple(path.stat().st_mtime if path.exists() else 0.0 for path in paths)


def server_credentials(tls: Tls) -> grpc.ServerCredentials:
    """Return credentials that are reloaded when their files change, for new connections only.

    Raises:
        OSError: a file cannot be read.
    """
    files = CertificateFiles(tls)
    requires_client_certificate = tls.client_ca is not None
    return grpc.dynamic_ssl_server_credentials(
        files.load(),
        files.load_if_changed,  # type: ignore[arg-type]  # gRPC accepts None, but its type stubs do not
        requires_client_certificate,
    )
