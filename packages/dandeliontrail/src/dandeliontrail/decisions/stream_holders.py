"""Which instances hold the record of a stream.

The key of the stream chooses them by rendezvous hashing, so every instance
that knows the same members finds the same ones without asking.  They are in
different failure domains, where there are several.  One of them is a keeper:
where all instances that serve callers restart at once, keepers still run.
"""

from . import affinity

HOLDERS = 2


def choose(key, names_by_domain, keepers=()):
    """Return the names of the holders of a stream.

    ``names_by_domain`` maps failure domains to the candidates there, and
    ``keepers`` are those of them of which one is to be a holder.

    >>> choose("0a", {"fd1": ["i1"], "fd2": ["i2"], "fd3": ["i3"]})
    ['i1', 'i2']
    >>> choose("0a", {"fd1": ["i1"], "fd2": ["i2"], "fd3": ["k3"]}, ["k3"])
    ['k3', 'i1']
    >>> choose(
    ...     "0a", {"fd1": ["i1"], "fd2": ["k2"], "fd3": ["k3"]}, ["k3", "k2"]
    ... )
    ['k3', 'i1']
    """
    if not keepers:
        return _spread(key, names_by_domain)[:HOLDERS]
    keeper = affinity.rendezvous_order(key, keepers)[0]
    others = {
        domain: [name for name in names if name not in keepers]
        for domain, names in names_by_domain.items()
    }
    elsewhere = {
        domain: names
        for domain, names in others.items()
        if names and keeper not in names_by_domain[domain]
    }
    further = _spread(key, elsewhere) or _spread(key, others)
    if not further:
        further = affinity.rendezvous_order(key, keepers)[1:]
    return [keeper, *further][:HOLDERS]


def _spread(key, names_by_domain):
    """Return candidates, those of different failure domains first."""
    occupied = [domain for domain, names in names_by_domain.items() if names]
    domains = affinity.rendezvous_order(key, occupied)
    ranked = {
        domain: affinity.rendezvous_order(key, names_by_domain[domain])
        for domain in domains[:HOLDERS]
    }
    found = [names[0] for names in ranked.values()]
    further = [name for names in ranked.values() for name in names[1:]]
    return found + further
