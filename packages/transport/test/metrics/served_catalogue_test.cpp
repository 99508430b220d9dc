#include <doctest/doctest.h>

#include <camphortide/transport/access/served_catalogue.hpp>

namespace state = camphortide::state;
namespace transport = camphortide::transport;

namespace
{

state::catalogue_entry entry(std::string const& name,
                             std::string const& customer,
                             std::string const& class_name)
{
    state::catalogue_entry result;
    result.m_name = name;
    result.m_customer = customer;
    result.m_class_name = class_name;
    return result;
}

} // namespace

TEST_CASE("entries of one class share their metrics, across versions")
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
    auto const metrics_of_entry =
        [](transport::served_catalogue const& serving,
           std::string const& name) -> transport::class_metrics*
    {
        return &serving.metrics_of(*serving.entries()->find_entry(name));
    };
    CHECK(metrics_of_entry(first, "a") ==
          &registry.find_or_create("desks", "checkouts"));
    CHECK(metrics_of_entry(first, "a") == metrics_of_entry(first, "b"));
    CHECK(metrics_of_entry(first, "c") ==
          &registry.find_or_create("desks", "returns"));
    CHECK(metrics_of_entry(second, "a") == metrics_of_entry(first, "a"));
}
