#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/state/catalogue_builder.hpp>
#include <camphortide/state/catalogue_difference.hpp>
#include <camphortide/state/catalogue_entry_builder.hpp>
#include <camphortide/state/catalogue_validation.hpp>

namespace state = camphortide::state;
using state::catalogue_builder;
using state::catalogue_field;
using state::problem_kind;

namespace
{

state::group_description loans()
{
    state::group_description group;
    group.m_name = "loans";
    group.m_members = {{"a", "10.0.0.1:7000", "sede-centro"},
                       {"b", "10.0.0.2:7000", "ginasio-norte"},
                       {"c", "10.0.0.3:7000", "escola-leste"}};
    group.m_connection_limit = 16;
    group.m_slots = 2;
    return group;
}

state::catalogue_entry desks()
{
    state::entry_limits limits;
    limits.m_connections = 4;
    return state::catalogue_entry_builder("loans.desk")
        .customer("caxias")
        .class_name("desk")
        .group("loans")
        .credential_hash(std::string(64, 'a'))
        .limits(limits)
        .build();
}

struct invalid_entry
{
    problem_kind m_kind;
    std::function<void(state::catalogue_entry&)> m_invalidate;
};

struct invalid_group
{
    problem_kind m_kind;
    std::function<void(state::group_description&)> m_invalidate;
};

} // namespace

TEST_CASE("a valid catalogue has no problems")
{
    auto const value = catalogue_builder().add(loans()).add(desks()).build();
    CHECK(state::validate(value).empty());
    REQUIRE(value.find_entry("loans.desk") != nullptr);
    CHECK(*value.find_entry("loans.desk") == desks());
    CHECK(value.find_entry("loans.des") == nullptr);
    CHECK(value.find_group("loans") != nullptr);
}

TEST_CASE("each invalid field of an entry gives exactly one problem")
{
    using entry = state::catalogue_entry;
    std::vector<invalid_entry> const table{
        {problem_kind::empty_name,
         [](entry& e)
         {
             e.m_name.clear();
         }},
        {problem_kind::bad_name,
         [](entry& e)
         {
             e.m_name = "a b";
         }},
        {problem_kind::name_too_long,
         [](entry& e)
         {
             e.m_name = std::string(129, 'x');
         }},
        {problem_kind::unknown_group,
         [](entry& e)
         {
             e.m_group = "other";
         }},
        {problem_kind::missing_customer,
         [](entry& e)
         {
             e.m_customer.clear();
         }},
        {problem_kind::missing_class,
         [](entry& e)
         {
             e.m_class_name.clear();
         }},
        {problem_kind::bad_credential_hash,
         [](entry& e)
         {
             e.m_credential_hash = "secret";
         }},
        {problem_kind::zero_rate,
         [](entry& e)
         {
             e.m_limits.m_rate = 0;
         }},
        {problem_kind::zero_concurrency,
         [](entry& e)
         {
             e.m_limits.m_concurrency = 0;
         }},
        {problem_kind::zero_connections,
         [](entry& e)
         {
             e.m_limits.m_connections = 0;
         }},
        {problem_kind::too_many_connections,
         [](entry& e)
         {
             e.m_limits.m_connections = 17;
         }},
        {problem_kind::zero_deadline,
         [](entry& e)
         {
             e.m_limits.m_deadline = state::duration(0);
         }},
        {problem_kind::deadline_too_long,
         [](entry& e)
         {
             e.m_limits.m_deadline = state::duration(600'001);
         }},
        {problem_kind::negative_age,
         [](entry& e)
         {
             e.m_limits.m_age = state::duration(-1);
         }},
        {problem_kind::retry_share_too_large,
         [](entry& e)
         {
             e.m_limits.m_retry_percent = 101;
         }},
        {problem_kind::zero_weight,
         [](entry& e)
         {
             e.m_limits.m_weight = 0;
         }},
        {problem_kind::retention_too_short,
         [](entry& e)
         {
             e.m_limits.m_key_retention = state::duration(3999);
         }},
    };
    for (auto const& row : table)
    {
        auto entry_value = desks();
        row.m_invalidate(entry_value);
        auto const problems = state::validate(
            catalogue_builder().add(loans()).add(entry_value).build());
        CAPTURE(state::to_string(row.m_kind));
        REQUIRE(problems.size() == 1);
        CHECK(problems.front().m_kind == row.m_kind);
        CHECK(problems.front().m_subject == entry_value.m_name);
    }
}

TEST_CASE("each invalid field of a group gives exactly one problem")
{
    using group = state::group_description;
    std::vector<invalid_group> const table{
        {problem_kind::duplicate_member,
         [](group& g)
         {
             g.m_members[1].m_name = g.m_members[0].m_name;
         }},
        {problem_kind::bad_address,
         [](group& g)
         {
             g.m_members[1].m_address = "10.0.0.2";
         }},
        {problem_kind::bad_address,
         [](group& g)
         {
             g.m_members[1].m_address = "10.0.0.2:70000";
         }},
        {problem_kind::bad_address,
         [](group& g)
         {
             g.m_members[1].m_address = "10.0.0.2:0";
         }},
        {problem_kind::missing_data_centre,
         [](group& g)
         {
             g.m_members[1].m_data_centre.clear();
         }},
        {problem_kind::too_few_members,
         [](group& g)
         {
             g.m_members.clear();
         }},
        {problem_kind::too_many_members,
         [](group& g)
         {
             for (int index = 0; index < 7; ++index)
             {
                 auto member = g.m_members[0];
                 member.m_name += std::to_string(index);
                 g.m_members.push_back(member);
             }
         }},
        {problem_kind::zero_connection_limit,
         [](group& g)
         {
             g.m_connection_limit = 0;
         }},
        {problem_kind::zero_slots,
         [](group& g)
         {
             g.m_slots = 0;
         }},
    };
    for (auto const& row : table)
    {
        auto group_value = loans();
        row.m_invalidate(group_value);
        auto const problems =
            state::validate(catalogue_builder().add(group_value).build());
        CAPTURE(state::to_string(row.m_kind));
        REQUIRE(problems.size() == 1);
        CHECK(problems.front().m_kind == row.m_kind);
    }
}

TEST_CASE("duplicate names are reported")
{
    auto const problems = state::validate(catalogue_builder()
                                              .add(loans())
                                              .add(loans())
                                              .add(desks())
                                              .add(desks())
                                              .build());
    CHECK(problems == std::vector<state::catalogue_problem>{
                          {problem_kind::duplicate_group, "loans"},
                          {problem_kind::duplicate_entry, "loans.desk"}});
}

TEST_CASE("setting a record replaces the record of the same name")
{
    auto changed = desks();
    changed.m_limits.m_rate = 7;
    auto const value =
        catalogue_builder(catalogue_builder().add(loans()).add(desks()).build())
            .version(4)
            .set(changed)
            .remove_group("loans")
            .build();
    CHECK(value.version() == 4);
    CHECK(value.entries() == std::vector{changed});
    CHECK(value.groups().empty());
}

TEST_CASE("a comparison lists the differing fields and ignores the stamp")
{
    auto const left = desks();
    auto right = desks();
    right.m_stamp = {"c1", "ana", 3};
    CHECK(state::differing_fields(&left, &right).empty());
    right.m_limits.m_rate = 1;
    right.m_limits.m_age = state::duration(5);
    CHECK(state::differing_fields(&left, &right) ==
          std::vector{catalogue_field::rate, catalogue_field::age});
    CHECK(state::differing_fields(&left, nullptr) ==
          std::vector{catalogue_field::existence});
    auto const group = loans();
    auto other = loans();
    other.m_slots = 3;
    CHECK(state::differing_fields(&group, &other) ==
          std::vector{catalogue_field::slots});
}
