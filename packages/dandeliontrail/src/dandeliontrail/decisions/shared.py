"""The policy for servers that many instances share and nobody reports on.

Servers tell neither their load nor what they hold, and other instances send
them work too.  What an instance has is its own work under way, what the
other instances say of theirs a tenth of a second ago, and that all of them
compute alike.

Long prompts wait here, where they can still be reordered or refused, until an
engine has next to nothing to read (:mod:`.engine_choice`).
"""

import collections

import msgspec

from .. import sentinels
from . import attempts
from . import domain_reach
from . import engine_choice
from . import placing_pace
from . import plain_choice
from . import policy
from . import read_news
from . import retry_budget
from . import searches
from . import server_table
from . import service_traits
from . import work as work_module

# A caller that meets no usable server may come back after a restart's time.
NO_SERVER_RETRY = 1.0
# Work waits so long for a server to become usable again before it is given
# up: most pauses are over by then, and little of its target is.
PATIENCE = 0.3
# What is left of its time when queued work is given up as hopeless: a short
# answer's own time on a calm engine.
LEAST_SERVICE = 0.5
# Queued work counts as hopeless once the queue before it takes this part of
# the time that it has left: its own answer takes time too, and the pace is
# only an estimate.
HOPE_PART = 0.7
# Lines about servers between two ticks; a storm of failures needs no more.
MOST_BELIEFS = 50


class Attempt(msgspec.Struct):
    """Work under way at a server.

    ``held`` is what was known of the incarnation that got it: work that
    ends after a restart is not taken off the next one's count.  ``domain``
    is the server's failure domain, ``placed`` when the work was given to it,
    ``unread`` the prompt tokens that it has yet to read of it.
    """

    work: work_module.Work
    server: str
    held: server_table.Server
    domain: str
    placed: float
    unread: float


class Shared(policy.Policy):
    """Decides for one instance, from its own work and the others' word."""

    def __init__(self, rng, view, state, limits):
        self._rng = rng
        self._view = view
        self._routing = state.routing
        self._domain = state.identity.failure_domain
        self._budget = retry_budget.RetryBudget(limits)
        self._queue = {}
        self._attempts = attempts.Attempts()
        self._searches = searches.Searches()
        self._table = server_table.ServerTable(state.loads, self._kv_tokens)
        self._engines = engine_choice.EngineChoice(self._table, self._domain)
        self._news = read_news.ReadNews(self._table)
        self._traits_of = (None, {})
        self._beliefs = []
        # Of each service, by the present round alone.
        self._usable_now = {}
        self._pace = placing_pace.PlacingPace()
        self._reach = domain_reach.DomainReach(self._domain, view)

    # -- what the other instances are told ---------------------------------

    def own_loads(self):
        """Return this instance's work at each server."""
        return self._table.own_loads()

    def take_reads(self):
        """Return what was sent to engines since the last call."""
        return self._news.take()

    def heard_reads(self, reads, now):
        """Take in what the others sent to engines."""
        self._news.heard(reads, now)

    def take_beliefs(self):
        """Return the :class:`Belief` objects since the last call."""
        beliefs, self._beliefs = self._beliefs, []
        return beliefs

    def _believe(self, text, server, health, now):
        seconds = max(0.0, health.until - now)
        share = round(health.failure_share, 3)
        self._tell(work_module.Belief(text, server, share, seconds))

    def _tell(self, belief):
        if len(self._beliefs) < MOST_BELIEFS:
            self._beliefs.append(belief)

    # -- admitting --------------------------------------------------------

    def offer(self, work, now):
        """Queue the work."""
        self._budget.request(work.service, now)
        self._queue[work.request_id] = work
        return work

    def requeue(self, work, now):
        """Queue work again whose attempt did not begin."""
        self._queue[work.request_id] = work

    def retry(self, work, now):
        """Queue work again, within the budget of repeats."""
        if not self._budget.take(work.service, self._view.instances(now), now):
            return sentinels.Nothing(
                sentinels.Reason.SERVER_FAILED, NO_SERVER_RETRY
            )
        self._queue[work.request_id] = work
        return work

    def withdraw(self, request_id):
        """Forget queued work."""
        return self._queue.pop(request_id, None)

    def seek(self, work, since):
        """Look for a server beside a silent one."""
        self._searches.begin(work, since)

    def stop_seeking(self, request_id):
        """Look for no server any more beside a silent one."""
        self._searches.end(request_id)

    def waiting(self):
        """Count the queued work by class."""
        return dict(
            collections.Counter(
                work.class_name for work in self._queue.values()
            )
        )

    # -- placing ----------------------------------------------------------

    def next(self, now, directory):
        """Place what can be placed, the most urgent first.

        An engine that is too busy for a piece of work takes nothing less
        urgent in this round: it would else never be free for a long prompt.
        """
        if not self._queue and not self._searches:
            return []
        claimed = set()
        self._usable_now.clear()
        lost, slow = self._searching(now)
        decided = self._hedged(lost, now, directory, claimed)
        decided.extend(self._placed(now, directory, claimed))
        decided.extend(self._hedged(slow, now, directory, claimed))
        return decided

    def _placed(self, now, directory, claimed):
        """Place or refuse what has no server."""
        decided = []
        ahead = collections.Counter()
        queued = list(self._queue.values())
        if len(queued) > 1:
            queued.sort(key=lambda work: _urgency(work, now))
        self._engines.waiting(queued)
        for work in queued:
            item = self._decide(work, now, directory, claimed)
            if item is None:
                ahead[work.service] += work.prompt_tokens
                item = self._refuse_hopeless(work, ahead[work.service], now)
            if item is not None:
                del self._queue[work.request_id]
                decided.append(item)
        return decided

    def _searching(self, now):
        """Return the work that looks for a second server, as two lists.

        Made for two kinds of silence that look alike.  A stream whose server
        is lost to this instance, as in a cut, has no other way to go on and
        goes first.  One whose server is merely slow, as all are under load,
        would take the room of requests that have no server at all; it gets
        what these leave.
        """
        lost = []
        slow = []
        for search in self._searches.due(now):
            found = lost if self._is_lost(search.work, now) else slow
            found.append(search.work)
        return lost, slow

    def _hedged(self, searching, now, directory, claimed):
        """Place what silent servers have, where others have room for it."""
        decided = []
        for work in searching:
            instances = self._view.instances(now)
            if not self._budget.allows(work.service, instances, now):
                continue
            item = self._decide(work, now, directory, claimed, hedge=True)
            if isinstance(item, work_module.Placement):
                self._budget.take(work.service, instances, now)
                self._searches.end(work.request_id)
                decided.append(item)
            elif item is not None:
                work.ask_again()
        return decided

    def _is_lost(self, work, now):
        """Tell whether the server that has ``work`` seems out of reach."""
        attempt = self._attempts.get(work.request_id)
        if attempt is None:
            return True
        return bool(attempt.held.health.pause) or self._reach.is_cut(
            attempt.domain, now
        )

    def _refuse_hopeless(self, work, ahead, now):
        """Refuse work that the queue before it will keep too long.

        Made for a burst beyond what the engines can read: whoever cannot be
        served within its time is told so at once, with the time that the
        queue takes, and not when its time is up.
        """
        wait = self._pace.seconds(work.service, ahead, now)
        left = work.deadline - now - LEAST_SERVICE
        if wait <= left * HOPE_PART:
            return None
        nothing = sentinels.Nothing(sentinels.Reason.QUEUE_FULL, wait / 2)
        grounds = work_module.Grounds(
            need=work.prompt_tokens, waiting=len(self._queue) - 1
        )
        return work_module.Refusal(work, nothing, grounds)

    def _decide(self, work, now, directory, claimed, hedge=False):
        left = work.deadline - now
        servers = directory.of_service(work.service)
        if left <= 0 or (work.parts and left < LEAST_SERVICE):
            return self._refusal(work, sentinels.Reason.ALL_BUSY, servers)
        usable = self._usable_in_round(work, servers, now)
        if not usable:
            waited = now - work.received
            if waited < PATIENCE and len(work.avoid) < len(servers):
                return None
            return self._refusal(work, sentinels.Reason.NO_SERVER, servers)
        if not work.parts:
            name = plain_choice.choose(
                usable, self._table, self._domain, self._rng
            )
            return self._place(work, name, 0.0, usable, now, hedge)
        traits = self._traits(work)
        chosen = self._engines.choose(work, traits, servers, usable, now)
        if not self._engines.has_room(work, traits, chosen):
            if not hedge:
                claimed.add(chosen.name)
            return None
        if chosen.name in claimed and (
            chosen.need > engine_choice.SHORT_PROMPT
        ):
            return None
        return self._place(work, chosen.name, chosen.need, usable, now, hedge)

    def _usable_in_round(self, work, servers, now):
        """Return the usable servers, the same for all that avoid none."""
        if work.avoid:
            return self._usable(work, servers, now)
        held = self._usable_now.get(work.service)
        if held is None:
            held = self._usable(work, servers, now)
            self._usable_now[work.service] = held
        return held

    def _usable(self, work, servers, now):
        """Return the servers that may take the work, by name.

        Of several at one address only the one heard of last is there: a
        server that starts anew at its address has a new name.
        """
        newest = {}
        for server in servers:
            url = server.announcement.url
            held = newest.get(url)
            if held is None or server.heard > held.heard:
                newest[url] = server
        usable = {}
        for server in newest.values():
            name = server.announcement.backend_server
            if not server.serves(now) or name in work.avoid:
                continue
            if self._table.server(name).health.usable(now):
                usable[name] = server
        return self._within_reach(usable, now)

    def _within_reach(self, usable, now):
        """Leave out the domains that are cut off, where others are left."""
        domains = {
            server.announcement.failure_domain for server in usable.values()
        }
        cut = {item for item in domains if self._reach.is_cut(item, now)}
        if not cut or cut == domains:
            return usable
        return {
            name: server
            for name, server in usable.items()
            if server.announcement.failure_domain not in cut
        }

    def _kv_tokens(self):
        table = self._routing.table
        return service_traits.kv_tokens(table.revision if table else None)

    def _traits(self, work):
        """Return what the revision in force says of a service's requests."""
        revision = self._routing.table.revision
        held, traits = self._traits_of
        if held is not revision:
            traits = {}
            self._traits_of = (revision, traits)
        found = traits.get(work.service)
        if found is None:
            found = service_traits.read(revision, work.service)
            traits[work.service] = found
        return found

    def _place(self, work, name, need, usable, now, hedge=False):
        held = self._table.server(name)
        running, unread = self._table.others(name)
        grounds = work_module.Grounds(
            int(need),
            int(held.unread),
            unread,
            held.running,
            running,
            len(usable),
            len(self._queue) - 1,
        )
        if held.health.pause:
            # One request at a time finds out whether it is back.
            self._usable_now.clear()
        held.health.tried(now)
        self._engines.placed(name)
        held.running += 1
        held.unread += need
        if need > engine_choice.SHORT_PROMPT:
            self._pace.placed(work.service, work.prompt_tokens, now)
        shared = work.parts[:-1]
        if shared:
            self._news.sent(name, list(shared), now)
        domain = usable[name].announcement.failure_domain
        attempt = Attempt(work, name, held, domain, now, need)
        self._attempts.add(work.request_id, attempt, hedge)
        return work_module.Placement(work, name, grounds, hedge)

    def _refusal(self, work, reason, servers):
        nothing = sentinels.Nothing(reason, NO_SERVER_RETRY)
        grounds = work_module.Grounds(
            usable=len(servers), waiting=len(self._queue) - 1
        )
        return work_module.Refusal(work, nothing, grounds)

    # -- feedback ---------------------------------------------------------

    def first_output(self, request_id, now):
        """Take note that the prompt has been read."""
        attempt = self._attempts.get(request_id)
        if attempt is not None:
            attempt.held.unread -= attempt.unread
            attempt.unread = 0.0
            self._answers(attempt, now)

    def ended(self, ended, now):
        """Take note of how an attempt ended."""
        attempt = self._attempts.take(ended)
        if attempt is None:
            return
        held = attempt.held
        held.running -= 1
        held.unread -= attempt.unread
        health = held.health
        if ended.gone:
            health.gone()
            self._believe(
                "backend server replaced", attempt.server, health, now
            )
        elif ended.unreachable:
            self._unreachable(attempt, now)
        elif ended.refused:
            held.health.full(now)
        elif ended.failed:
            held.health.failed()
        elif not ended.wasted:
            self._answers(attempt, now)
            health.succeeded()

    def _answers(self, attempt, now):
        """Take note that a server answers: it, and its domain, are there."""
        health = attempt.held.health
        self._reach.reached(attempt.domain)
        if health.pause:
            health.answers()
            self._believe(
                "backend server usable again", attempt.server, health, now
            )

    def _unreachable(self, attempt, now):
        health = attempt.held.health
        health.unreachable(now)
        self._believe("backend server avoided", attempt.server, health, now)
        if self._reach.unreachable(
            attempt.domain, attempt.server, attempt.placed, now
        ):
            self._tell(
                work_module.Belief(
                    "failure domain avoided",
                    attempt.server,
                    round(health.failure_share, 3),
                    domain_reach.SUSPECTED_SECONDS,
                    attempt.domain,
                )
            )

    def observe(self, server, now):
        """Drop all that was held of an earlier incarnation of ``server``."""
        announcement = server.announcement
        name = announcement.backend_server
        if self._table.announced(name, announcement.epoch):
            health = self._table.server(name).health
            self._believe("backend server restarted", name, health, now)

    def forget_server(self, name):
        """Drop what is held about a server that is gone."""
        self._table.forget(name)


def _urgency(work, now):
    """Order by priority, and within it those first that can be on time."""
    target = work.first_token_ms
    late = target is not None and now - work.received > target / 1000.0
    return (work.priority, late, work.received)
