#include "../support/registered_instances.hpp"

#include <set>

#include <doctest/doctest.h>

#include <camphortide/coordination/fleet/group_homes.hpp>

namespace coordination = camphortide::coordination;
using coordination::choose_homes;
using tests::instance_records;
using tests::make_registered_instances;

namespace
{

std::set<std::string> names_of(coordination::group_homes const& homes)
{
    std::set<std::string> names;
    for (auto const& home : homes.m_homes)
    {
        names.insert(home.m_name);
    }
    return names;
}

} // namespace

TEST_CASE("every instance is a home while each can have three connections")
{
    for (int const count : {1, 7, 14})
    {
        auto const homes =
            choose_homes("i0", "g", 42, make_registered_instances(count));
        CHECK(homes.m_is_home);
        CHECK(homes.m_homes.empty());
        CHECK(homes.m_count == static_cast<std::size_t>(count));
    }
}

TEST_CASE("without registered instances an instance is the only home")
{
    auto const homes = choose_homes("i0", "g", 14, {});
    CHECK(homes.m_is_home);
    CHECK(homes.m_count == 1);
}

TEST_CASE("with fewer connections than instances all agree on the same few "
          "homes")
{
    auto const all = make_registered_instances(83);
    auto const expected = names_of(choose_homes("i0", "g", 36, all));
    CHECK(expected.size() == 3);
    std::size_t here = 0;
    for (auto const& [name, stored] : all)
    {
        auto const homes = choose_homes(name, "g", 36, all);
        CHECK(names_of(homes) == expected);
        CHECK(homes.m_count == 3);
        CHECK(homes.m_is_home == expected.contains(name));
        here += homes.m_is_home ? 1 : 0;
        // The home in the instance's own data centre comes first.
        CHECK(all.at(homes.m_homes[0].m_name).m_record.m_data_centre ==
              stored.m_record.m_data_centre);
        CHECK(homes.m_homes[0].m_address ==
              all.at(homes.m_homes[0].m_name).m_record.m_forwarding_address);
    }
    CHECK(here == 3);
}

TEST_CASE("a group has three homes even with few connections")
{
    CHECK(choose_homes("i0", "g", 14, make_registered_instances(7))
              .m_homes.size() == 3);
    CHECK(choose_homes("i0", "g", 3, make_registered_instances(20))
              .m_homes.size() == 3);
}

TEST_CASE("homes are placed in the data centres of the members")
{
    auto const all = make_registered_instances(83);
    auto const data_centres = [&](coordination::group_homes const& homes)
    {
        std::set<std::string> result;
        for (auto const& home : homes.m_homes)
        {
            result.insert(all.at(home.m_name).m_record.m_data_centre);
        }
        return result;
    };
    std::set<std::string> const members{"dc0", "dc2"};
    auto const homes = choose_homes("i1", "g", 36, all, members);
    CHECK(homes.m_homes.size() == 3);
    CHECK(data_centres(homes) == members);
    SUBCASE("all data centres are used if the members are in one only")
    {
        CHECK(data_centres(choose_homes("i1", "g", 36, all, {"dc0"})).size() ==
              3);
    }
    SUBCASE("all data centres are used if the members' have too few instances")
    {
        instance_records few{*all.find("i0"), *all.find("i2"), *all.find("i1"),
                             *all.find("i4"), *all.find("i7")};
        CHECK(choose_homes("i1", "g", 14, few, members).m_homes.size() == 3);
    }
}

TEST_CASE("an expelled home is replaced by one other instance")
{
    auto all = make_registered_instances(83);
    auto const before = names_of(choose_homes("i0", "g", 36, all));
    all.at(*before.begin()).m_record.m_expelled = true;
    auto const after = names_of(choose_homes("i0", "g", 36, all));
    CHECK_FALSE(after.contains(*before.begin()));
    std::size_t stayed = 0;
    for (auto const& name : after)
    {
        stayed += before.contains(name) ? 1 : 0;
    }
    CHECK(stayed == 2);
}
