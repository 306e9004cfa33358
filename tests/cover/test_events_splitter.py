"""Streams are split into whole events, however the bytes are chunked."""

from dandeliontrail_node.forwarding import events_splitter
from hypothesis import given
from hypothesis import strategies as st

EVENTS = st.lists(
    st.tuples(st.integers(0, 999), st.binary(max_size=20).map(bytes.hex)).map(
        lambda item: (str(item[0]), f"id: {item[0]}\ndata: {item[1]}")
    ),
    min_size=1,
    max_size=6,
)


@given(EVENTS, st.sampled_from(["\n", "\r\n", "\r"]), st.data())
def test_only_whole_events_come_out_and_nothing_is_lost(events, eol, data):
    whole = "".join(
        text.replace("\n", eol) + eol + eol for _, text in events
    ).encode()
    cuts = data.draw(st.lists(st.integers(0, len(whole)), max_size=6))
    bounds = [0, *sorted(cuts), len(whole)]
    splitter = events_splitter.EventsSplitter()
    out = []
    for begin, end in zip(bounds, bounds[1:]):
        piece = splitter.feed(whole[begin:end])
        assert not piece or piece.endswith((eol + eol).encode())
        out.append(piece)
    assert b"".join(out) == whole
    assert not splitter.pending
    assert splitter.last_id == events[-1][0]


def test_incomplete_event_of_a_failed_server_is_discarded():
    splitter = events_splitter.EventsSplitter()
    assert splitter.feed(b"id: 1\n\nid: 2\nda") == b"id: 1\n\n"
    assert splitter.pending
    splitter = events_splitter.EventsSplitter(splitter.last_id)
    assert splitter.feed(b"id: 2\n\n") == b"id: 2\n\n"
    assert splitter.last_id == "2"
