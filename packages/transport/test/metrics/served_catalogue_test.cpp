#include <doctest/doctest.h>

#include <camphortide/transport/access/served_catalogue.hpp>

namespace state = camphortide::state;
namespace transport = camphortide::transport;

namespace
{

state::catalogue_entry entry(std::string const& name, std::string const& owner,
                             std::string const& class_name)
{
    state::catalogue_entry made;
    made.m_name = name;
    made.m_owner = owner;
    made.m_class_name = class_name;
    return made;
}

} // namespace

TEST_CASE("entries of one class share their metrics, over versions too")
{
    transport::metrics_registry registry;
    auto const make = [&registry](std::uint64_t version)
    {
        return transport::served_catalogue(
            std::make_shared<state::catalogue const>(
                version,
                std::vector{entry("c", "desks", "returns"),
                            entry("a", "desks", "checkouts"),
                            entry("b", "desks", "checkouts")},
                std::vector<state::group_description>()),
            registry);
    };
    auto const first = make(1);
    auto const second = make(2);
    auto const of = [](transport::served_catalogue const& serving,
                       std::string const& name) -> transport::class_metrics*
    {
        return &serving.metrics_of(*serving.entries()->find_entry(name));
    };
    CHECK(of(first, "a") == &registry.of("desks", "checkouts"));
    CHECK(of(first, "a") == of(first, "b"));
    CHECK(of(first, "c") == &registry.of("desks", "returns"));
    CHECK(of(second, "a") == of(first, "a"));
}
