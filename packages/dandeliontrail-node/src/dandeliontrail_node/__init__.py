"""``dandeliond``: runs one instance around the library's pure reducer."""

__version__ = "0.1.0"
