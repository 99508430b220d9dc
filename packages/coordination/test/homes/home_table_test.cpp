#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/fleet/home_table.hpp>

namespace state = camphortide::state;
using camphortide::coordination::choose_watchers;
using camphortide::coordination::count_movement;
using camphortide::coordination::home_table;

namespace
{

std::vector<state::instance_record> instances(std::size_t count,
                                              std::size_t data_centres)
{
    std::vector<state::instance_record> result;
    for (std::size_t index = 0; index < count; ++index)
    {
        state::instance_record record;
        record.m_name = "instance-" + std::to_string(index);
        record.m_data_centre =
            "data-centre-" + std::to_string(index % data_centres);
        result.push_back(record);
    }
    return result;
}

std::vector<std::string> groups(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index)
    {
        result.push_back("group-" + std::to_string(index));
    }
    return result;
}

} // namespace

TEST_CASE("the two homes of a group are in two data centres")
{
    home_table const table(instances(30, 3), 2);
    for (auto const& group : groups(200))
    {
        auto const homes = table.homes_of(group);
        REQUIRE(homes.size() == 2);
        CHECK(homes[0].m_data_centre != homes[1].m_data_centre);
    }
}

TEST_CASE("more homes than data centres are distributed over all of them")
{
    home_table const table(instances(30, 3), 7);
    home_table const few(instances(30, 3), 3);
    for (auto const& group : groups(50))
    {
        auto const homes = table.homes_of(group);
        REQUIRE(homes.size() == 7);
        std::map<std::string, std::size_t> held;
        std::set<std::string> names;
        for (auto const& home : homes)
        {
            ++held[home.m_data_centre];
            names.insert(home.m_name);
        }
        CHECK(names.size() == 7);
        for (auto const& [data_centre, count] : held)
        {
            CHECK(count >= 2);
        }
        // A larger number of homes extends the list of a smaller number.
        auto const first = few.homes_of(group);
        CHECK(std::equal(first.begin(), first.end(), homes.begin()));
    }
}

TEST_CASE("all makes every live instance a home")
{
    auto view = instances(8, 3);
    view[3].m_state = state::instance_state::gone;
    view[4].m_state = state::instance_state::leaving;
    view[5].m_state = state::instance_state::suspected;
    home_table const table(view, home_table::all);
    CHECK(table.homes_of("group").size() == 6);
    CHECK_FALSE(table.is_home("group", "instance-3"));
    CHECK_FALSE(table.is_home("group", "instance-4"));
    CHECK(table.is_home("group", "instance-5"));
}

TEST_CASE("the order of a view does not matter")
{
    auto view = instances(20, 3);
    home_table const one(view, 2);
    std::ranges::reverse(view);
    home_table const other(view, 2);
    for (auto const& group : groups(50))
    {
        CHECK(one.homes_of(group) == other.homes_of(group));
    }
}

TEST_CASE("losing an instance moves only its own homes")
{
    auto view = instances(50, 5);
    home_table const before(view, 2);
    view[17].m_state = state::instance_state::gone;
    home_table const after(view, 2);
    auto const names = groups(910);
    std::size_t held = 0;
    for (auto const& name : names)
    {
        held += before.is_home(name, "instance-17") ? 1U : 0U;
    }
    auto const movement = count_movement(before, after, names);
    CHECK(held > 0);
    CHECK(movement.m_homes == 2 * names.size());
    CHECK(movement.m_moved == held);
}

TEST_CASE("losing a data centre moves no homes in other data centres")
{
    auto view = instances(50, 5);
    home_table const before(view, 2);
    for (auto& record : view)
    {
        if (record.m_data_centre == "data-centre-2")
        {
            record.m_state = state::instance_state::gone;
        }
    }
    home_table const after(view, 2);
    for (auto const& name : groups(910))
    {
        for (auto const& home : before.homes_of(name))
        {
            bool const survived = home.m_data_centre != "data-centre-2";
            CHECK(after.is_home(name, home.m_name) == survived);
        }
    }
}

TEST_CASE("homes are distributed evenly")
{
    home_table const table(instances(20, 4), 2);
    std::map<std::string, std::size_t> held;
    for (auto const& name : groups(2000))
    {
        for (auto const& home : table.homes_of(name))
        {
            ++held[home.m_name];
        }
    }
    CHECK(held.size() == 20);
    for (auto const& [name, count] : held)
    {
        CHECK(count > 140); // 200 on average
        CHECK(count < 260);
    }
}

TEST_CASE("each data centre has its watchers and a lost one is replaced")
{
    auto view = instances(40, 4);
    auto const before = choose_watchers(view, 2);
    CHECK(before.size() == 8);
    auto const lost = std::ranges::find(view, before.front(),
                                        &state::instance_record::m_name);
    lost->m_state = state::instance_state::gone;
    auto const after = choose_watchers(view, 2);
    CHECK(after.size() == 8);
    std::set<std::string> const kept(before.begin(), before.end());
    auto const stayed =
        std::ranges::count_if(after, [&kept](std::string const& name)
                              { return kept.contains(name); });
    CHECK(stayed == 7);
}
