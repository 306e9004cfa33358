"""Messages that the codec accepts although no instance should send them."""

import enum
import types
import typing

from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages
from hypothesis import strategies as st
import msgspec

SECONDS = (-1.0, 0.0, 0.05, 1.0, 60.0, 1e9)
NUMBERS = (-1, 0, 1, 2, 3, 63, 64, 1 << 42)
UNKNOWN = ("unknown", "")
MAX_ITEMS = 3


class OddMessages:
    """Strategies for messages to an instance, made of what it knows.

    ``instances`` are names of instances, ``names`` all other texts and
    ``numbers`` counts, versions and incarnations that mean something there;
    values that mean nothing are drawn as well.  ``fixed`` maps names of
    fields to the only values drawn for them.
    """

    def __init__(self, instances, names=(), numbers=(), fixed=()):
        self._instances = (*instances, *UNKNOWN)
        self._numbers = (*NUMBERS, *numbers)
        self._fixed = dict(fixed)
        self._basic = {
            str: st.sampled_from((*self._instances, *names)),
            int: st.sampled_from(self._numbers),
            float: st.sampled_from(SECONDS),
            bool: st.booleans(),
            bytes: st.sampled_from((b"", b"x")),
            type(None): st.none(),
            msgspec.Raw: st.sampled_from(
                (msgspec.Raw(b"{}"), msgspec.Raw(b"null"))
            ),
        }

    def envelopes(self, kinds=codec.ALL):
        """Return the strategy for envelopes with a message of ``kinds``."""
        return st.builds(
            lambda sender, message: codec.Envelope(sender, [message]),
            self._senders(),
            st.one_of(*[self._values(kind) for kind in kinds]),
        )

    def _senders(self):
        """Return the strategy for senders, of any start and any age."""
        return st.builds(
            messages.Sender,
            st.sampled_from(self._instances),
            st.sampled_from(self._instances),
            st.sampled_from(("fd1", "fd2", "fd9")),
            st.just("r1"),
            st.sampled_from(self._numbers),
            st.sampled_from(SECONDS),
        )

    def _values(self, kind):
        if kind in self._basic:
            return self._basic[kind]
        origin = typing.get_origin(kind)
        arguments = typing.get_args(kind)
        if origin is typing.Literal:
            return st.sampled_from(arguments)
        inner = [self._values(item) for item in arguments]
        if origin in (typing.Union, types.UnionType):
            return st.one_of(*inner)
        if origin is list:
            return st.lists(*inner, max_size=MAX_ITEMS)
        if origin is tuple:
            return st.tuples(*inner)
        if origin is dict:
            return st.dictionaries(*inner, max_size=MAX_ITEMS)
        if issubclass(kind, enum.Enum):
            return st.sampled_from(list(kind))
        return self._structs(kind)

    def _structs(self, kind):
        fields = {}
        for item in msgspec.structs.fields(kind):
            if item.name in self._fixed:
                fields[item.name] = st.just(self._fixed[item.name])
            else:
                fields[item.name] = self._values(item.type)
        return st.builds(kind, **fields)


def received(envelope):
    """Return the envelope as its receiver decodes it."""
    return codec.decode(codec.encode(envelope))[0]
