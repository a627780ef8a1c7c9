"""TLS credentials of a gRPC listener: changed files are reloaded, otherwise the old ones stay in use."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
import trustme

from shelfhaven.frontends.tls_credentials import CertificateFiles, server_credentials
from shelfhaven.operator_config import Tls


def write_certificate(folder: Path) -> Tls:
    """Write a certificate and its key, and return their paths."""
    issued = trustme.CA().issue_cert("localhost")
    certificate = folder / "certificate.pem"
    key = folder / "key.pem"
    issued.cert_chain_pems[0].write_to_path(certificate)
    issued.private_key_pem.write_to_path(key)
    return Tls(certificate, key)


def change_modification_time(path: Path) -> None:
    """Change the modification time of a file."""
    modified_at = path.stat().st_mtime - 10.0
    os.utime(path, (modified_at, modified_at))


def test_unchanged_files_are_not_read_again(tmp_path: Path) -> None:
    """The result None makes gRPC keep the current certificate."""
    assert CertificateFiles(write_certificate(tmp_path)).load_if_changed() is None


def test_changed_files_are_read_once(tmp_path: Path) -> None:
    """Each change yields one new configuration."""
    tls = write_certificate(tmp_path)
    files = CertificateFiles(tls)
    change_modification_time(tls.certificate)
    assert files.load_if_changed() is not None
    assert files.load_if_changed() is None


def test_a_missing_file_leaves_the_old_certificate_in_use_until_it_is_back(tmp_path: Path) -> None:
    """The listener must keep working while an operator is replacing the files."""
    tls = write_certificate(tmp_path)
    files = CertificateFiles(tls)
    pem = tls.key.read_bytes()
    tls.key.unlink()
    assert files.load_if_changed() is None
    tls.key.write_bytes(pem)
    change_modification_time(tls.key)
    assert files.load_if_changed() is not None


def test_files_that_are_missing_at_the_start_are_an_error(tmp_path: Path) -> None:
    """The listener does not start without its certificate."""
    with pytest.raises(FileNotFoundError):
        server_credentials(Tls(tmp_path / "certificate.pem", tmp_path / "key.pem"))
