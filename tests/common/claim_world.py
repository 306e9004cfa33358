"""Instances that claim keys, over a network that a test controls."""

import random

from dandeliontrail.components import claim_rounds
from dandeliontrail.components import claim_voting
from dandeliontrail.components import claims as claims_component
from dandeliontrail.components import state as state_module
from dandeliontrail.coordination import claim_entries
from dandeliontrail.coordination import claims
from dandeliontrail import effects

Stand = claim_entries.Stand


class Recorder(claim_rounds.Listener):
    """Takes down what came of each request's claim."""

    def __init__(self):
        self.granted = []
        self.answered = {}
        self.refused = {}

    def claim_granted(self, request_id, now):
        self.granted.append(request_id)
        return []

    def claim_unneeded(self, request_id, now):
        return []

    def claim_answered(self, request_id, answer, now):
        self.answered[request_id] = answer
        return []

    def claim_refused(self, request_id, nothing, ran, now):
        self.refused[request_id] = (nothing.reason, ran)
        return []


class Peer:
    """One instance: its claims, which a crash takes."""

    def __init__(self, name, voters, incarnation):
        identity = state_module.Identity(
            name, "fd", "r", incarnation, f"{name}:1"
        )
        self.state = state_module.new_state(identity, random.Random(name))
        self.state.log.resumed = incarnation > 1
        self.voting = claim_voting.ClaimVoting(self.state, voters)
        self.claims = claims_component.Claims(self.state, self.voting)
        self.recorder = Recorder()
        self.claims.listener = self.recorder

    @property
    def name(self):
        return self.state.identity.instance


class ClaimWorld:
    """A few peers, their messages under way, and one clock."""

    def __init__(self, voters, others):
        self.voters = [f"v{number}" for number in range(voters)]
        self.names = self.voters + [f"i{number}" for number in range(others)]
        self.now = 0.0
        self.messages = []
        self.cut = set()
        self.requests = 0
        # By key: the requests that were granted it and may have run.
        self.ran = {}
        self.keys = {}
        self.running = {}
        self.peers = {}
        for name in self.names:
            self._start(name, 1)

    def _start(self, name, incarnation):
        peer = Peer(name, self.voters, incarnation)
        self.peers[name] = peer
        for other in self.peers.values():
            if other is peer:
                continue
            other.state.members.hear(peer.claims._self(), self.now)
            peer.state.members.hear(other.claims._self(), self.now)

    def crash(self, name):
        """Restart ``name`` without its memory, but with its disk's log."""
        incarnation = self.peers[name].state.identity.incarnation + 1
        for request_id, held in list(self.running.items()):
            if held == name:
                del self.running[request_id]
        self._start(name, incarnation)

    def request(self, name, key, digest="d"):
        """Have a caller send ``key`` to an instance; return its number."""
        self.requests += 1
        request_id = f"q{self.requests}"
        self.keys[request_id] = key
        wanted = claim_rounds.Wanted(
            request_id, key, digest, False, self.now + 600.0
        )
        self.carry(name, self.peers[name].claims.begin(wanted, self.now))
        return request_id

    def carry(self, name, out):
        """Put messages under way and start what was granted."""
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                target = effect.address.split(":")[0]
                self.messages.append((name, target, effect.message))
        recorder = self.peers[name].recorder
        while recorder.granted:
            self._run(name, recorder.granted.pop())

    def _run(self, name, request_id):
        self.running[request_id] = name
        self.ran.setdefault(self.keys[request_id], {})[request_id] = self.now
        self.check()

    def end(self, request_id, stand):
        """Have a running request end."""
        name = self.running.pop(request_id)
        if stand is Stand.NOT_RUN:
            del self.ran[self.keys[request_id]][request_id]
        answer = None
        if stand is Stand.HELD:
            answer = claims.StoredAnswer(
                200, "", "e1", self.keys[request_id].encode()
            )
        out = self.peers[name].claims.ended(
            request_id, stand, answer, self.now
        )
        self.carry(name, out)

    def deliver(self, index, keep=False):
        """Deliver a message under way, and maybe once more later."""
        source, target, message = self.messages[index]
        if not keep:
            self.messages.pop(index)
        if (source, target) in self.cut:
            return
        sender = self.peers[source].claims._self()
        peer = self.peers[target]
        handlers = peer.voting.handlers() | peer.claims.handlers()
        handler = handlers[type(message)]
        self.carry(target, handler(sender, message, self.now))

    def pass_time(self, seconds, stalled=()):
        """Let time pass, and let every peer but ``stalled`` notice."""
        self.now += seconds
        for name, peer in self.peers.items():
            if name in stalled:
                continue
            self.carry(name, peer.voting.tick(self.now))
            self.carry(name, peer.claims.tick(self.now))

    def settle(self, seconds=3.0):
        """Let all that is under way arrive, for a while."""
        end = self.now + seconds
        while self.now < end:
            while self.messages:
                self.deliver(0)
            self.pass_time(0.3)

    def separate(self, one, other):
        """Have nothing arrive between two peers."""
        self.cut |= {(one, other), (other, one)}

    def join(self, one, other):
        """Let messages between two peers arrive again."""
        self.cut -= {(one, other), (other, one)}

    def check(self):
        """Assert that no key was run twice within its claim's life."""
        for key, started in self.ran.items():
            lately = [
                request_id
                for request_id, when in started.items()
                if self.now - when < claims.CLAIM_SECONDS
            ]
            assert len(lately) <= 1, f"{key} ran for {lately}"
