"""Models of message dissemination, to compare designs.

The first two reproduce the tables of the notes "scalable secure scuttlebutt":
the rounds until a message has reached everybody by gossip, and the hops and
messages of a broadcast over K random links.  The others count the cost of the
same message over this system's links.
"""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Broadcast:
    """Peers reached, hops to the last, mean hops and messages sent."""

    reached: int
    hops: int
    mean_hops: float
    messages: int


def gossip_rounds(peers, rng):
    """Return how many peers know a message after each round.

    In each round every peer in turn connects to one random peer.  If one of
    the two knows the message, afterwards both do, so a message may travel
    several hops in one round.  The table in the notes grows sixfold per round,
    which only this order reproduces, not the doubling that their text expects.
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
    """Return the links when each peer chooses ``count`` others.

    Links are bidirectional.  Each peer chooses among the peers before it and
    may choose one twice.  Only this reproduces the notes: with one link each,
    everybody is reached and the number of messages is the same.
    """
    links = [set() for _ in range(peers)]
    for peer in range(1, peers):
        for _ in range(count):
            other = rng.randrange(peer)
            links[peer].add(other)
            links[other].add(peer)
    return links


def broadcast(links, origin=0):
    """Return the cost of flooding a message over ``links``.

    A peer forwards the first copy to all its links except the one it came
    over.
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
    """Return the cost of a broadcast tree and its number of notes.

    The tree consists of the links that a first flood used to reach a new peer.
    Each other link carries a short note that the message exists.
    """
    flood = broadcast(links, origin)
    notes = flood.messages - (flood.reached - 1)
    tree = Broadcast(
        flood.reached, flood.hops, flood.mean_hops, flood.reached - 1
    )
    return tree, notes
