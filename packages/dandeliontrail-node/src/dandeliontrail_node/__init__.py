"""``dandeliond``: one instance, around the pure reducer of the library."""

__version__ = "0.1.0"
