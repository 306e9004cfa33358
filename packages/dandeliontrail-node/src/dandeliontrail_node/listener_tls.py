"""TLS of the listeners, with certificates that can be replaced."""

import ssl

import dandeliontrail


class ListenerTls:
    """The contexts of the listeners that speak TLS, by listener name."""

    def __init__(self, settings):
        self._settings = settings
        self._contexts = {
            name: _context(name, tls) for name, tls in settings.items()
        }

    def options(self, name):
        """Return what a listener's server needs to be told."""
        context = self._contexts.get(name)
        return {"ssl_context": context} if context else {}

    def client_context(self, name):
        """Return the context to connect to the same listener elsewhere.

        ``None`` where it speaks no TLS.  Instances show each other the
        certificate of their listener.  Who they are is told by addresses
        and by the key that signs each batch, so what is checked here is
        that ``client_ca`` signed it; without that, TLS only keeps others
        from reading along.
        """
        tls = self._settings.get(name)
        if tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        _load(context, tls)
        return context

    def reload(self):
        """Read every certificate again; connections that stand keep theirs.

        A file that cannot be used leaves its listener as it was: it is
        tried on a context of its own first, since a failed load may leave
        half of a pair behind.
        """
        for name, tls in self._settings.items():
            _context(name, tls)
            _load(self._contexts[name], tls)


def _context(name, tls):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        _load(context, tls)
    except (OSError, ValueError) as exc:
        raise dandeliontrail.SettingsError(
            f"tls.{name} cannot be used: {exc}.",
            "name a certificate, its key and client_ca as PEM files that"
            " this user may read",
        )
    return context


def _load(context, tls):
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.client_ca:
        context.load_verify_locations(tls.client_ca)
        context.verify_mode = ssl.CERT_REQUIRED
