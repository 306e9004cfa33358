"""Who becomes a voter where several keepers of a failure domain have disks."""

import collections
import itertools
import random

from dandeliontrail.coordination import quorum_log_voter_choice as choice
from dandeliontrail.coordination import quorum_log_voter_sets as voter_sets
import pytest

# More changes than this in a row are a swap without end.
MAX_CHANGES = 24
RANDOM_SITUATIONS = 400
# Of a keeper that voted before all others of a test.
OLDEST = -1
# Voters are made in the order of their first votes.
_seniorities = itertools.count()


def voter(name, folder=""):
    return voter_sets.Voter(name, folder or f"folder-{name}")


def state(name, domain, **facts):
    facts.setdefault("seniority", next(_seniorities))
    return choice.VoterState(voter(name), domain, **facts)


def spare(name, domain, seniority=voter_sets.NEVER_VOTED):
    return choice.Spare(voter(name), domain, seniority)


def names_of(change):
    removed = change.remove.name if change.remove else None
    added = change.add.name if change.add else None
    return removed, added


def applied(change, voters, spares):
    """Return the voters and spares after a change.

    Whoever has gone is a spare, unless it is lost, leaves or has another
    folder; who has voted has its seniority from then on.
    """
    keepers = (*voters, *spares)
    domains = {item.voter.name: item.domain for item in keepers}
    seniorities = {item.voter.name: item.seniority for item in keepers}
    stay = [item for item in voters if item.voter != change.remove]
    spares = [item for item in spares if item.voter != change.add]
    gone = [item for item in voters if item.voter == change.remove]
    for item in gone:
        if not (item.is_lost or item.is_leaving or item.new_folder):
            spares.append(
                choice.Spare(item.voter, item.domain, item.seniority)
            )
    if change.add:
        domain = domains[change.add.name]
        seniority = seniorities[change.add.name]
        if seniority == voter_sets.NEVER_VOTED:
            seniority = next(_seniorities)
        stay.append(choice.VoterState(change.add, domain, seniority=seniority))
    return stay, spares


def settle(voters, spares, target):
    """Apply changes until there is none; return the voters and spares."""
    reasons = []
    for _ in range(MAX_CHANGES):
        change = choice.next_change(voters, spares, target)
        if change is None:
            return voters, spares
        reasons.append((names_of(change), change.reason))
        voters, spares = applied(change, voters, spares)
    raise AssertionError(f"does not come to rest: {reasons}")


def domain_counts(items):
    return collections.Counter(item.domain for item in items)


THREE = [state("k1", "fd1"), state("k2", "fd2"), state("k3", "fd3")]


def replaced(position, **facts):
    """Return three voters, one of them with other ``facts``."""
    voters = list(THREE)
    old = voters[position]
    voters[position] = choice.VoterState(
        old.voter, old.domain, seniority=old.seniority, **facts
    )
    return voters


# -- one situation each ------------------------------------------------------


def test_sound_voters_without_a_spare_stay():
    assert choice.next_change(THREE, [], 3) is None


@pytest.mark.parametrize("fact", ["is_lost", "is_leaving"])
def test_does_not_remove_a_voter_without_a_spare(fact):
    # Guards against two voters, of which none may be lost.
    assert choice.next_change(replaced(1, **{fact: True}), [], 3) is None


@pytest.mark.parametrize("fact", ["is_lost", "is_leaving"])
def test_spare_of_the_same_domain_takes_the_place(fact):
    voters = replaced(1, **{fact: True})
    spares = [spare("k4", "fd1"), spare("k5", "fd2"), spare("k6", "fd3")]
    change = choice.next_change(voters, spares, 3)
    assert names_of(change) == ("k2", "k5")


@pytest.mark.parametrize("fact", ["is_lost", "is_leaving"])
def test_spare_of_a_domain_without_a_voter_comes_before_a_doubled_one(fact):
    # Guards against two of three voters that fail together.
    voters = replaced(1, **{fact: True})
    spares = [spare("k4", "fd1"), spare("k5", "fd4", OLDEST)]
    change = choice.next_change(voters, spares, 3)
    assert names_of(change) == ("k2", "k5")


def test_spare_of_the_same_domain_comes_before_another_empty_domain():
    spares = [spare("a4", "fd4"), spare("k5", "fd2")]
    change = choice.next_change(replaced(1, is_lost=True), spares, 3)
    assert names_of(change) == ("k2", "k5")


def test_voter_that_goes_does_not_count_for_its_domain():
    voters = [
        state("k1", "fd1"),
        state("k2", "fd2", is_lost=True),
        state("k3", "fd2"),
    ]
    spares = [spare("a4", "fd1"), spare("k5", "fd2")]
    change = choice.next_change(voters, spares, 3)
    assert names_of(change) == ("k2", "k5")


def test_spare_of_a_doubled_domain_is_better_than_none():
    change = choice.next_change(
        replaced(1, is_lost=True), [spare("k4", "fd1")], 3
    )
    assert names_of(change) == ("k2", "k4")


def test_spare_that_never_voted_is_chosen_of_two_in_a_domain():
    # Guards against the return of a keeper that is about to go.
    spares = [spare("k4", "fd2", OLDEST), spare("k5", "fd2")]
    change = choice.next_change(replaced(1, is_lost=True), spares, 3)
    assert names_of(change) == ("k2", "k5")


def test_leaving_voter_is_replaced_before_a_lost_one():
    # A leaver still votes for the change; soon it does not.
    voters = [
        state("k1", "fd1", is_lost=True),
        state("k2", "fd2", is_leaving=True),
        state("k3", "fd3"),
    ]
    change = choice.next_change(voters, [spare("k4", "fd4")], 3)
    assert names_of(change) == ("k2", "k4")


def test_renewed_folder_replaces_the_lost_one_without_a_spare():
    change = choice.next_change(replaced(2, new_folder="new"), [], 3)
    assert change.remove == voter("k3")
    assert change.add == voter("k3", "new")


def test_renewed_folder_comes_before_all_else():
    voters = [
        state("k1", "fd1", is_leaving=True),
        state("k2", "fd2", is_lost=True, new_folder="new"),
        state("k3", "fd3"),
    ]
    change = choice.next_change(voters, [spare("k4", "fd1")], 3)
    assert change.add == voter("k2", "new")


def test_too_few_voters_get_one_where_there_is_none():
    voters = [state("k1", "fd1"), state("k2", "fd2")]
    spares = [spare("k3", "fd1"), spare("k4", "fd3")]
    change = choice.next_change(voters, spares, 3)
    assert names_of(change) == (None, "k4")


def test_too_few_voters_without_a_spare_stay():
    voters = [state("k1", "fd1"), state("k2", "fd2")]
    assert choice.next_change(voters, [], 3) is None


@pytest.mark.parametrize("fact", ["is_lost", "is_leaving"])
def test_surplus_voter_that_is_about_to_go_is_removed(fact):
    voters = [*replaced(0, **{fact: True}), state("k4", "fd2")]
    change = choice.next_change(voters, [], 3)
    assert names_of(change) == ("k1", None)


def test_surplus_voter_of_the_fullest_domain_is_removed():
    voters = [*THREE, state("k0", "fd2")]
    change = choice.next_change(voters, [], 3)
    assert change.remove.name in ("k0", "k2")
    assert change.add is None


def test_uneven_domains_give_a_voter_to_one_without():
    voters = [state("k1", "fd1"), state("k2", "fd1"), state("k3", "fd2")]
    spares = [spare("k4", "fd3", OLDEST)]
    change = choice.next_change(voters, spares, 3)
    assert change.remove.name in ("k1", "k2")
    assert change.add.name == "k4"


def test_successor_takes_the_vote_of_its_own_domain():
    change = choice.next_change(THREE, [spare("k4", "fd2")], 3)
    assert names_of(change) == ("k2", "k4")


def test_successor_takes_the_vote_of_the_longest_serving_of_its_domain():
    voters = [
        state("k1", "fd1"),
        state("k2", "fd2"),
        state("k3", "fd1"),
    ]
    change = choice.next_change(voters, [spare("k4", "fd1")], 3)
    assert names_of(change) == ("k1", "k4")


def test_keeper_that_gave_its_vote_to_a_successor_does_not_get_it_back():
    # Guards against two keepers that swap a vote for ever.
    change = choice.next_change(THREE, [spare("k0", "fd2", OLDEST)], 3)
    assert change is None


def test_spare_of_a_domain_without_a_voter_takes_none_that_is_needed():
    assert choice.next_change(THREE, [spare("k4", "fd4")], 3) is None


def test_stop_gap_goes_and_not_the_successor_beside_it():
    # Guards against a keeper about to go that has its successor's vote again.
    voters = [
        state("k1", "fd1", is_lost=True),
        state("k2", "fd2"),
        state("n3", "fd3"),
    ]
    spares = [spare("k3", "fd3", OLDEST)]
    voters, spares = settle(voters, spares, 3)
    assert [item.voter.name for item in voters] == ["k2", "n3", "k3"]
    spares = [spare("k1", "fd1")]
    voters, _ = settle(voters, spares, 3)
    assert {item.voter.name for item in voters} == {"k1", "k2", "n3"}


def test_a_vote_comes_back_to_the_keeper_that_lent_it():
    # Guards against a predecessor that keeps the vote of its successor.
    voters = [
        state("k2", "fd2"),
        state("k3", "fd3"),
        state("k1", "fd1", seniority=OLDEST),
    ]
    change = choice.next_change(voters, [spare("k4", "fd1", 3)], 3)
    assert names_of(change) == ("k1", "k4")


def test_the_newest_of_two_that_lent_a_vote_gets_it():
    voters = [
        state("k2", "fd2"),
        state("k3", "fd3"),
        state("k1", "fd1", seniority=OLDEST),
    ]
    spares = [spare("k4", "fd1", 3), spare("k5", "fd1", 4)]
    change = choice.next_change(voters, spares, 3)
    assert names_of(change) == ("k1", "k5")
    voters, spares = settle(voters, spares, 3)
    assert {item.voter.name for item in voters} == {"k2", "k3", "k5"}


def test_a_keeper_that_lent_its_vote_takes_none_of_a_newer_one():
    voters = [state("k2", "fd2"), state("k3", "fd3"), state("k5", "fd1")]
    spares = [spare("k4", "fd1", OLDEST)]
    assert choice.next_change(voters, spares, 3) is None


# -- series of changes -------------------------------------------------------


@pytest.mark.parametrize(
    "domains,target,most", [(3, 3, 1), (3, 5, 2), (4, 5, 2)]
)
def test_voters_spread_over_domains_whatever_the_founders(
    domains, target, most
):
    # Guards against a domain whose loss takes more voters than needed.
    keepers = [(f"k{n}", f"fd{n % domains}") for n in range(2 * domains)]
    for founders in itertools.combinations(keepers, 3):
        voters = [state(*item) for item in founders]
        spares = [spare(*item) for item in keepers if item not in founders]
        voters, _ = settle(voters, spares, target)
        assert len(voters) == target
        assert max(domain_counts(voters).values()) == most


def test_each_keeper_of_a_domain_may_be_replaced_one_after_the_other():
    voters = [state(f"k{n}", f"fd{n % 3}") for n in range(5)]
    spares = [spare("k5", "fd2")]
    for number in range(6):
        domain = f"fd{number % 3}"
        voters, spares = settle(
            voters, [*spares, spare(f"n{number}", domain)], 5
        )
        old = f"k{number}"
        spares = [item for item in spares if item.voter.name != old]
        voters = [
            choice.VoterState(
                item.voter,
                item.domain,
                is_leaving=item.voter.name == old,
                seniority=item.seniority,
            )
            for item in voters
        ]
        voters, spares = settle(voters, spares, 5)
        assert old not in {item.voter.name for item in voters}
        assert len(voters) == 5
        assert max(domain_counts(voters).values()) == 2


def random_situation(rng):
    """Return voters, spares and a target as a leader might see them."""
    domains = [f"fd{n}" for n in range(rng.randint(1, 5))]
    target = rng.choice((1, 3, 5, 7))
    count = rng.randint(1, 9)
    names = [f"k{n}" for n in range(count + rng.randint(0, 6))]
    rng.shuffle(names)
    voters = [
        state(
            name,
            rng.choice(domains),
            is_lost=rng.random() < 0.2,
            is_leaving=rng.random() < 0.2,
            new_folder="new" if rng.random() < 0.1 else "",
        )
        for name in names[:count]
    ]
    spares = [
        spare(name, rng.choice(domains), random_seniority(rng))
        for name in names[count:]
    ]
    return voters, spares, target


def random_seniority(rng):
    """Return that of a keeper that never voted, or voted at some time."""
    if rng.random() < 0.5:
        return voter_sets.NEVER_VOTED
    # Between those of any two voters.
    return next(_seniorities) - rng.randint(0, 12) - 0.5


@pytest.mark.parametrize("seed", range(4))
def test_any_situation_comes_to_rest(seed):
    # Guards against voters that are swapped without end.
    rng = random.Random(seed)
    for _ in range(RANDOM_SITUATIONS):
        voters, spares, target = random_situation(rng)
        found, left = settle(voters, spares, target)
        assert len(found) <= max(target, 1)
        if len(voters) + len(spares) >= target:
            assert len(found) == target or not left
        needs_no_spare = not any(
            item.is_lost or item.is_leaving for item in found
        )
        assert needs_no_spare or not left


@pytest.mark.parametrize("seed", range(4))
def test_rest_is_even_as_far_as_keepers_allow(seed):
    # Guards against a domain with two voters more than one with a spare.
    rng = random.Random(f"even {seed}")
    for _ in range(RANDOM_SITUATIONS):
        found, left = settle(*random_situation(rng))
        counts = domain_counts(found)
        with_spare = {item.domain for item in left}
        for domain in with_spare:
            assert max(counts.values()) < counts[domain] + 2
