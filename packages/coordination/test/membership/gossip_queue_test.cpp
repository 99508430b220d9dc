#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/fleet/gossip_queue.hpp>

using camphortide::coordination::gossip_queue;
using names = std::vector<std::string>;

TEST_CASE("a name is taken the requested number of times, once per call")
{
    gossip_queue queue;
    queue.add("one", 2);
    queue.add("two", 1);
    CHECK(queue.take(5) == names{"one", "two"});
    CHECK(queue.take(5) == names{"one"});
    CHECK(queue.take(5).empty());
    CHECK(queue.size() == 0);
}

TEST_CASE("a new name precedes those that were taken before")
{
    gossip_queue queue;
    for (int index = 0; index < 100; ++index)
    {
        queue.add(std::to_string(index), 3);
    }
    for (int round = 0; round < 13; ++round)
    {
        queue.take(8);
    }
    queue.add("new", 3);
    CHECK(queue.take(1) == names{"new"});
    CHECK(queue.take(1) == names{"new"});
    CHECK(queue.size() == 101);
}

TEST_CASE("adding a name again resets its count")
{
    gossip_queue queue;
    queue.add("one", 2);
    queue.take(1);
    queue.add("one", 2);
    CHECK(queue.size() == 1);
    CHECK(queue.take(4) == names{"one"});
    CHECK(queue.take(4) == names{"one"});
    CHECK(queue.take(4).empty());
}
