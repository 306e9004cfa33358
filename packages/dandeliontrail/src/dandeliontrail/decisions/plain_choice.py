"""Which plain server gets a request."""

# In parts of all slots: what the way to another failure domain costs, so that
# its servers take over once the own are a third busy, and a draw between
# equals, without which all instances would choose alike.
AWAY_COST = 0.3
DRAW_COST = 0.01


def choose(usable, table, domain, rng):
    """Prefer the own failure domain and the servers that fail least."""

    def cost(name):
        announcement = usable[name].announcement
        load = table.running(name) / max(1, announcement.slots)
        away = announcement.failure_domain != domain
        return (
            load
            + AWAY_COST * away
            + table.server(name).health.failure_share
            + DRAW_COST * rng.random()
        )

    return min(usable, key=cost)
