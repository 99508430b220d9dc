#include <string>

#include <doctest/doctest.h>

#include <camphortide/state/customer_directory.hpp>

namespace state = camphortide::state;
using state::key_digest;

namespace
{

state::customer named(std::string name)
{
    state::customer value;
    value.m_name = std::move(name);
    return value;
}

} // namespace

TEST_CASE("a key finds the customer that holds it")
{
    state::customer_directory_builder builder;
    builder.add(named("north"), {"k1", "k2", "k1"}).add(named("south"), {"k3"});
    auto const directory = builder.build();
    REQUIRE(directory.ok());
    REQUIRE(directory->find_by_key(key_digest("k2")) != nullptr);
    CHECK(directory->find_by_key(key_digest("k2"))->m_name == "north");
    CHECK(directory->find_by_key(key_digest("k3"))->m_name == "south");
    CHECK(directory->find("south") != nullptr);
    CHECK(directory->find("west") == nullptr);
}

TEST_CASE("keys that nobody holds find no customer")
{
    state::customer_directory_builder builder;
    builder.add(named("north"), {"k1"});
    auto const directory = builder.build();
    REQUIRE(directory.ok());
    for (std::string const& key :
         {std::string(), std::string("k"), std::string("k1 "),
          std::string(65536, 'k'), std::string("\0k1", 3),
          std::string("\xff\xfe\x01")})
    {
        CAPTURE(key.size());
        CHECK(directory->find_by_key(key_digest(key)) == nullptr);
    }
    CHECK(directory->find_by_key(key_digest()) == nullptr);
}

TEST_CASE("the first problem of the customers is named")
{
    state::customer_directory_builder builder;
    builder.add(named("north"), {"k1"});
    std::string expected;
    SUBCASE("one key of two customers")
    {
        builder.add(named("south"), {"k1"}).add(named("north"), {});
        expected = "customers north and south have the same key";
    }
    SUBCASE("a name twice")
    {
        builder.add(named("north"), {"k2"});
        expected = "customer north is named twice";
    }
    SUBCASE("no name")
    {
        builder.add(named(""), {"k2"});
        expected = "the name of a customer is not a single word";
    }
    SUBCASE("a name that would be two fields of a message to a member")
    {
        builder.add(named("so uth"), {"k2"});
        expected = "the name of a customer is not a single word";
    }
    SUBCASE("an empty key")
    {
        builder.add(named("south"), {""});
        expected = "customer south has an empty key";
    }
    SUBCASE("a negative limit")
    {
        auto south = named("south");
        south.m_limit = state::operation_limit{-1, 5};
        builder.add(south, {"k2"});
        expected = "customer south has a negative limit";
    }
    auto const directory = builder.build();
    REQUIRE_FALSE(directory.ok());
    CHECK(directory.status().code() == absl::StatusCode::kInvalidArgument);
    CHECK(directory.status().message() == expected);
}

TEST_CASE("directories are equal if their customers and keys are")
{
    auto const build = [](std::string const& key)
    {
        state::customer_directory_builder builder;
        return *builder.add(named("north"), {"k1", key}).build();
    };
    CHECK(build("k2") == build("k2"));
    CHECK_FALSE(build("k2") == build("k3"));
}
