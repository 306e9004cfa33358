"""Models of dissemination, to weigh them before any is built.

The first two reproduce the tables of the notes "scalable secure
scuttlebutt": rounds until one message reaches everybody by gossip, and
hops and messages of a broadcast over K random links.  The others count
what the same news costs over this system's links.
"""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Broadcast:
    """One broadcast: hops to the last, mean hops, and messages sent."""

    reached: int
    hops: int
    mean_hops: float
    messages: int


def gossip_rounds(peers, rng):
    """Return how many know a message after each round.

    In each round every peer in turn connects to one other at random, and
    where one of the two knows the message, afterwards both do; so a message
    may go on within the round in which it came.  The notes' table grows
    sixfold a round, which only this order gives, not the doubling that
    their text expects.
    """
    knows = [False] * peers
    knows[rng.randrange(peers)] = True
    counts = []
    while counts[-1:] != [peers]:
        for peer in range(peers):
            other = rng.randrange(peers)
            if knows[peer] or knows[other]:
                knows[peer] = knows[other] = True
        counts.append(sum(knows))
    return counts


def random_links(peers, count, rng):
    """Return the links where each peer chooses ``count`` others.

    Links are used both ways.  Each peer chooses among those before it, and
    may choose one twice: only so does one link each reach everybody, as in
    the notes, and come out the same number of messages.
    """
    links = [set() for _ in range(peers)]
    for peer in range(1, peers):
        for _ in range(count):
            other = rng.randrange(peer)
            links[peer].add(other)
            links[other].add(peer)
    return links


def broadcast(links, origin=0):
    """Return what it costs to flood a message over ``links``.

    Whoever hears it first passes it to all links but the one it came by.
    """
    hops = {origin: 0}
    messages = 0
    waiting = collections.deque([(origin, None)])
    while waiting:
        peer, source = waiting.popleft()
        for other in links[peer]:
            if other == source:
                continue
            messages += 1
            if other not in hops:
                hops[other] = hops[peer] + 1
                waiting.append((other, peer))
    return Broadcast(
        len(hops), max(hops.values()), sum(hops.values()) / len(hops), messages
    )


def tree_broadcast(links, origin=0):
    """Return the cost of a broadcast tree, and of its lazy notes.

    The tree is the one that a first flood leaves behind; over all other
    links goes a note that the message exists.
    """
    flood = broadcast(links, origin)
    notes = flood.messages - (flood.reached - 1)
    tree = Broadcast(
        flood.reached, flood.hops, flood.mean_hops, flood.reached - 1
    )
    return tree, notes
