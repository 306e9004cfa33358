"""The four listeners of an instance, each a WSGI application."""
