"""TLS contexts of the listeners, with reloadable certificates."""

import ssl

import dandeliontrail


class ListenerTls:
    """The server contexts of the listeners that use TLS, by name.

    Raises :class:`dandeliontrail.SettingsError` if a certificate cannot be
    loaded.
    """

    def __init__(self, settings):
        self._settings = settings
        self._contexts = {
            name: _new_server_context(name, tls)
            for name, tls in settings.items()
        }

    def options(self, name):
        """Return the keyword arguments for the server of a listener."""
        context = self._contexts.get(name)
        return {"ssl_context": context} if context else {}

    def client_context(self, name):
        """Return the context for connecting to this listener elsewhere.

        Returns ``None`` if the listener does not use TLS.  Instances present
        the certificate of their listener to each other.  They are identified
        by their addresses and by the key that signs each batch, so TLS only
        verifies that the certificate is signed by ``client_ca``; without
        ``client_ca``, TLS only protects against eavesdropping.
        """
        tls = self._settings.get(name)
        if tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        _load_certificates(context, tls)
        return context

    def reload(self):
        """Reload all certificates; open connections keep theirs.

        If a file cannot be loaded, its listener keeps its certificate.  Each
        file is first loaded into a new context, since a failed load may leave
        a context with only one half of the pair.
        """
        for name, tls in self._settings.items():
            _new_server_context(name, tls)
            _load_certificates(self._contexts[name], tls)


def _new_server_context(name, tls):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        _load_certificates(context, tls)
    except (OSError, ValueError) as exc:
        raise dandeliontrail.SettingsError(
            f"tls.{name} cannot be used: {exc}.",
            "name a certificate, its key and client_ca as PEM files that"
            " this user may read",
        )
    return context


def _load_certificates(context, tls):
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.client_ca:
        context.load_verify_locations(tls.client_ca)
        context.verify_mode = ssl.CERT_REQUIRED
