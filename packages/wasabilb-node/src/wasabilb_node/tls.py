"""TLS contexts from certificate files, reloaded without a restart."""

import os
import ssl

from wasabilb_core.settings import CallerSettings, LinkSettings


class CertificateFiles:
    """A TLS context that is reloaded when its certificate files change.

    New handshakes use the new certificate; open connections keep the old one.
    """

    def __init__(self, *, context: ssl.SSLContext, cert: str, key: str) -> None:
        self.context = context
        self._cert = cert
        self._key = key
        self._loaded_mtimes = self._mtimes()
        context.load_cert_chain(cert, key)

    def reload(self) -> bool:
        """Reload the files if they changed and return whether they did.

        Raises
        ------
        ssl.SSLError, OSError
            When the new files cannot be read; the old certificate stays in use.
        """
        mtimes = self._mtimes()
        if mtimes == self._loaded_mtimes:
            return False
        self.context.load_cert_chain(self._cert, self._key)
        self._loaded_mtimes = mtimes
        return True

    def _mtimes(self) -> tuple[int, int]:
        return (os.stat(self._cert).st_mtime_ns, os.stat(self._key).st_mtime_ns)


def caller_tls(cfg: CallerSettings) -> CertificateFiles | None:
    """Return the TLS context of the callers' listener, or None for plain text."""
    if not cfg.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return CertificateFiles(context=context, cert=cfg.tls_cert, key=cfg.tls_key)


def link_tls(cfg: LinkSettings) -> tuple[CertificateFiles, CertificateFiles] | None:
    """Return the server and client contexts for mutual TLS, or None for plain text.

    Hosts are addressed by IP and replaced at any time, so only the CA signature is verified and not
    the host name in the certificate.
    """
    if not cfg.tls_cert:
        return None
    contexts = []
    for protocol in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
        context = ssl.SSLContext(protocol)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(cfg.tls_ca)
        contexts.append(CertificateFiles(context=context, cert=cfg.tls_cert, key=cfg.tls_key))
    return contexts[0], contexts[1]
