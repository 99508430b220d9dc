#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/fleet/stop_planner.hpp>
#include <camphortide/state/catalogue_builder.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::stop_problem;
using state::stop_kind;
using state::stop_state;

namespace
{

state::group_description group(std::string const& name)
{
    state::group_description result;
    result.m_name = name;
    for (std::string const member : {"one", "two", "three"})
    {
        result.m_members.push_back(
            {member, "host-" + member + ":7000", "leon"});
    }
    return result;
}

state::planned_stop stop(std::string const& id, stop_kind kind,
                         std::string const& target,
                         std::string const& group_name, std::uint64_t created)
{
    state::planned_stop result;
    result.m_id = id;
    result.m_kind = kind;
    result.m_target = target;
    result.m_group = group_name;
    result.m_created = created;
    result.m_object_version = created;
    return result;
}

/// Two groups, and eight instances that are all homes of both.
struct stop_fixture
{
    state::catalogue m_catalogue = state::catalogue_builder()
                                       .add(group("loans"))
                                       .add(group("members"))
                                       .build();
    std::vector<state::instance_record> m_instances = instances();
    coordination::home_table m_homes{m_instances,
                                     coordination::home_table::all};
    std::vector<state::planned_stop> m_stops;
    std::vector<coordination::member_observation> m_members = observations();
    bool m_is_idle = false;

    static std::vector<state::instance_record> instances()
    {
        std::vector<state::instance_record> result;
        for (int index = 0; index < 8; ++index)
        {
            state::instance_record record;
            record.m_name = "instance-" + std::to_string(index);
            record.m_data_centre = "leon";
            result.push_back(record);
        }
        return result;
    }

    static std::vector<coordination::member_observation> observations()
    {
        std::vector<coordination::member_observation> result;
        for (std::string const name : {"loans", "members"})
        {
            result.push_back({{name, "one"}, true, false, 4});
            result.push_back({{name, "two"}, false, false, 4});
            result.push_back({{name, "three"}, false, false, 4});
        }
        return result;
    }

    std::string first_home(std::string const& name) const
    {
        return m_homes.homes_of(name).front().m_name;
    }

    coordination::member_observation& member(std::string const& group_name,
                                             std::string const& name)
    {
        return *std::ranges::find(
            m_members, coordination::group_member{group_name, name},
            &coordination::member_observation::m_group_member);
    }

    coordination::stop_plan plan(std::string const& self) const
    {
        return coordination::plan_stops(
            {m_stops, m_catalogue, m_homes, self, m_members, m_is_idle});
    }

    /// Applies the reports of an instance to the stops, as the store does.
    void report(std::string const& self)
    {
        for (auto const& written : plan(self).m_reports)
        {
            *std::ranges::find(m_stops, written.m_stop.m_id,
                               &state::planned_stop::m_id) = written.m_stop;
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(stop_fixture, "only the instance that stops drains itself")
{
    m_stops = {stop("s", stop_kind::instance, "instance-3", "", 1)};
    CHECK(plan("instance-2") == coordination::stop_plan{});
    auto const own = plan("instance-3");
    CHECK(own.m_drain_self);
    REQUIRE(own.m_reports.size() == 1);
    CHECK(own.m_reports[0].m_stop.m_state == stop_state::draining);
    report("instance-3");
    CHECK(plan("instance-3").m_reports.empty());
    m_is_idle = true;
    report("instance-3");
    CHECK(m_stops[0].m_state == stop_state::done);
    CHECK_FALSE(plan("instance-3").m_drain_self);
}

TEST_CASE_FIXTURE(stop_fixture,
                  "every instance excludes a stopping member from new work, "
                  "and the first home reports")
{
    m_stops = {stop("s", stop_kind::member, "two", "loans", 1)};
    for (auto const& instance : m_instances)
    {
        auto const own = plan(instance.m_name);
        CHECK(own.excludes({"loans", "two"}));
        CHECK_FALSE(own.excludes({"members", "two"}));
        CHECK(own.m_switch_over.empty());
        CHECK(own.m_reports.empty() ==
              (instance.m_name != first_home("loans")));
    }
    report(first_home("loans"));
    CHECK(m_stops[0].m_state == stop_state::draining);
    member("loans", "two").m_connections = 0;
    report(first_home("loans"));
    CHECK(m_stops[0].m_state == stop_state::done);
}

TEST_CASE_FIXTURE(stop_fixture, "a member that is primary is switched over "
                                "before it counts as drained")
{
    m_stops = {stop("s", stop_kind::member, "one", "loans", 1)};
    member("loans", "one").m_connections = 0;
    auto const own = plan(first_home("loans"));
    CHECK(own.m_switch_over ==
          std::vector<coordination::group_member>{{"loans", "one"}});
    report(first_home("loans"));
    CHECK(m_stops[0].m_state == stop_state::draining);
    member("loans", "one").m_is_primary = false;
    report(first_home("loans"));
    CHECK(m_stops[0].m_state == stop_state::done);
}

TEST_CASE_FIXTURE(stop_fixture, "a stopped primary continues as a replica")
{
    m_stops = {stop("s", stop_kind::primary, "one", "loans", 1)};
    auto const own = plan(first_home("loans"));
    CHECK_FALSE(own.excludes({"loans", "one"}));
    CHECK(own.m_switch_over.size() == 1);
    member("loans", "one").m_is_primary = false;
    report(first_home("loans"));
    CHECK(m_stops[0].m_state == stop_state::done);
}

TEST_CASE_FIXTURE(stop_fixture,
                  "a stop of an endpoint stops all its members, and each group "
                  "is reported by its own first home")
{
    m_stops = {stop("s", stop_kind::endpoint, "host-two", "", 1)};
    CHECK(plan("instance-0").m_excluded_members ==
          std::vector<coordination::group_member>{{"loans", "two"},
                                                  {"members", "two"}});
    member("loans", "two").m_connections = 0;
    report(first_home("loans"));
    CHECK(m_stops[0].m_state == stop_state::draining);
    CHECK(m_stops[0].m_drained == std::vector<std::string>{"loans"});
    member("members", "two").m_connections = 0;
    report(first_home("members"));
    CHECK(m_stops[0].m_state == stop_state::done);
}

TEST_CASE_FIXTURE(stop_fixture, "the later of two stops of one group waits")
{
    m_stops = {stop("b", stop_kind::member, "three", "loans", 9),
               stop("a", stop_kind::endpoint, "host-two", "", 4)};
    CHECK(plan("instance-0").m_excluded_members ==
          std::vector<coordination::group_member>{{"loans", "two"},
                                                  {"members", "two"}});
    SUBCASE("a stop that is already draining goes first")
    {
        m_stops[0].m_state = stop_state::draining;
        CHECK(plan("instance-0").m_excluded_members ==
              std::vector<coordination::group_member>{{"loans", "three"}});
    }
    SUBCASE("it still waits when the first is done, as that member may be "
            "shut down")
    {
        m_stops[1].m_state = stop_state::done;
        CHECK(plan("instance-0").m_excluded_members ==
              std::vector<coordination::group_member>{{"loans", "two"},
                                                      {"members", "two"}});
        CHECK(plan(first_home("loans")).m_reports.empty());
    }
    SUBCASE("it proceeds when the first is cancelled")
    {
        m_stops[1].m_state = stop_state::cancelled;
        CHECK(plan("instance-0").excludes({"loans", "three"}));
    }
}

TEST_CASE_FIXTURE(stop_fixture,
                  "members that announce leaving or are marked in the "
                  "catalogue get no new work")
{
    member("loans", "three").m_is_leaving = true;
    auto marked = group("members");
    marked.m_members[0].m_leaving = true;
    m_catalogue = state::catalogue_builder(m_catalogue).set(marked).build();
    CHECK(plan("instance-0").m_excluded_members ==
          std::vector<coordination::group_member>{{"loans", "three"},
                                                  {"members", "one"}});
}

TEST_CASE_FIXTURE(stop_fixture,
                  "another home reports if the first home is lost")
{
    m_stops = {stop("s", stop_kind::member, "two", "loans", 1)};
    auto const lost = first_home("loans");
    std::ranges::find(m_instances, lost, &state::instance_record::m_name)
        ->m_state = state::instance_state::gone;
    m_homes =
        coordination::home_table(m_instances, coordination::home_table::all);
    CHECK(first_home("loans") != lost);
    CHECK(plan(first_home("loans")).m_reports.size() == 1);
}

TEST_CASE_FIXTURE(stop_fixture, "a stop is checked before it is planned")
{
    struct row
    {
        state::planned_stop m_stop;
        std::optional<stop_problem> m_problem;
    };
    auto const active =
        std::vector{stop("a", stop_kind::member, "two", "loans", 1),
                    stop("b", stop_kind::instance, "instance-1", "", 2)};
    std::vector<row> const table{
        {stop("s", stop_kind::instance, "nobody", "", 0),
         stop_problem::unknown_instance},
        {stop("s", stop_kind::instance, "instance-1", "", 0),
         stop_problem::duplicate},
        {stop("s", stop_kind::instance, "instance-2", "", 0), {}},
        {stop("s", stop_kind::member, "two", "nothing", 0),
         stop_problem::unknown_group},
        {stop("s", stop_kind::member, "nobody", "loans", 0),
         stop_problem::unknown_member},
        {stop("s", stop_kind::member, "three", "loans", 0),
         stop_problem::majority_at_risk},
        {stop("s", stop_kind::member, "two", "members", 0), {}},
        {stop("s", stop_kind::primary, "three", "loans", 0), {}},
        {stop("s", stop_kind::endpoint, "host-nobody", "", 0),
         stop_problem::unknown_endpoint},
        {stop("s", stop_kind::endpoint, "host-three", "", 0),
         stop_problem::majority_at_risk},
        {stop("s", stop_kind::endpoint, "host-two", "", 0), {}}};
    for (auto const& row_value : table)
    {
        CAPTURE(row_value.m_stop.m_target);
        CHECK(coordination::check_stop(row_value.m_stop, active, m_catalogue,
                                       m_instances) == row_value.m_problem);
    }
}
