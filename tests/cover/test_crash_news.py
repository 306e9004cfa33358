"""All instances block the same requests after crashes of servers."""

import pytest

from tests.common import crash_news

# An instance that has been connected for so long must block the requests.
PROPAGATION_SECONDS = 3.0


def end_three_servers(news, nodes, fingerprint="p"):
    """Let a server end at each of three instances, under the same request."""
    for number, node in enumerate(nodes):
        news.ended(node, fingerprint, f"s{number}")


@pytest.mark.parametrize("count", (12, 40))
def test_all_block_a_request_that_ended_servers_at_three_instances(count):
    news = crash_news.CrashNews(count)
    end_three_servers(news, news.nodes[3:6])
    news.net.run(1.0)
    assert len(news.blocking_instances("p")) == count


@pytest.mark.parametrize("count", (12, 40))
def test_lost_messages_are_repaired(count):
    news = crash_news.CrashNews(count, loss=0.5)
    end_three_servers(news, news.nodes[3:6])
    news.net.run(PROPAGATION_SECONDS)
    news.net.loss = 0.0
    news.net.run(PROPAGATION_SECONDS)
    assert len(news.blocking_instances("p")) == count


@pytest.mark.parametrize("count", (12, 40))
def test_partitioned_domain_blocks_the_request_after_it_is_back(count):
    news = crash_news.CrashNews(count)
    inside = [node.name for node in news.nodes if node.domain == "fd0"]
    outside = [node.name for node in news.nodes if node.domain != "fd0"]
    news.net.partition(inside, outside)
    end_three_servers(news, [news.net.nodes[name] for name in outside[:3]])
    news.net.run(5.0)
    assert news.blocking_instances("p") == set(outside)
    news.net.heal()
    news.net.run(PROPAGATION_SECONDS)
    assert len(news.blocking_instances("p")) == count


@pytest.mark.parametrize("count", (12, 40))
def test_restarted_instance_blocks_the_request(count):
    news = crash_news.CrashNews(count)
    end_three_servers(news, news.nodes[3:6])
    news.net.run(1.0)
    restarted = news.net.add(
        news.nodes[7].name, news.nodes[7].domain, seeds=["i000", "i001"]
    )
    news.net.run(PROPAGATION_SECONDS)
    assert restarted.name in news.blocking_instances("p")


def test_one_surviving_instance_informs_all_restarted_ones():
    news = crash_news.CrashNews(12)
    end_three_servers(news, news.nodes[3:6])
    news.net.run(1.0)
    for node in news.nodes[1:]:
        news.net.add(node.name, node.domain, seeds=["i000"])
    news.net.run(PROPAGATION_SECONDS)
    assert len(news.blocking_instances("p")) == 12


def test_frequent_request_is_not_blocked_when_many_servers_are_lost():
    news = crash_news.CrashNews(12)
    news.served(news.nodes[0], "lookup")
    for number in range(1, 5):
        news.ended(news.nodes[number], "lookup", f"s{number}")
    news.net.run(1.0)
    assert not news.blocking_instances("lookup")


def test_many_such_requests_at_once_are_all_blocked():
    news = crash_news.CrashNews(40)
    for number in range(50):
        for place in range(3):
            node = news.nodes[(number + 7 * place) % 40]
            news.ended(node, f"p{number}", f"s{number}-{place}")
    news.net.run(2.0)
    for number in range(50):
        assert len(news.blocking_instances(f"p{number}")) == 40
