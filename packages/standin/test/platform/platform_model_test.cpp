#include <doctest/doctest.h>

#include <camphortide/standin/platform/call_admission.hpp>
#include <camphortide/standin/platform/instance_list_model.hpp>
#include <camphortide/standin/platform/object_store_model.hpp>

using namespace camphortide::standin;
using camphortide::state::duration;
using camphortide::state::time_point;

namespace
{

store_error error(change_result const& result)
{
    REQUIRE(std::holds_alternative<store_error>(result));
    return std::get<store_error>(result);
}

std::uint64_t version(change_result const& result)
{
    REQUIRE(std::holds_alternative<object_change>(result));
    return std::get<object_change>(result).m_object.m_version;
}

time_point at(std::int64_t ms)
{
    return time_point(duration(ms));
}

} // namespace

TEST_CASE("a change requires the object's current version")
{
    object_store_model store;
    CHECK(version(store.put("a", 0, "1")) == 1);
    CHECK(error(store.put("a", 0, "2")) == store_error::conflict);
    CHECK(version(store.put("a", 1, "2")) == 2);
    CHECK(error(store.put("a", 1, "3")) == store_error::conflict);
    CHECK(error(store.erase("a", 1)) == store_error::conflict);
    CHECK(error(store.put("b", 7, "x")) == store_error::conflict);
    CHECK(version(store.erase("a", 2)) == 3);
    CHECK(error(store.erase("a", 3)) == store_error::not_found);
    CHECK_FALSE(store.get("a").has_value());
}

TEST_CASE("a value of more than 1 MiB and an empty name are rejected")
{
    object_store_model store;
    auto const limit = object_store_model::max_value_size;
    CHECK(version(store.put("a", 0, std::string(limit, 'x'))) == 1);
    CHECK(error(store.put("b", 0, std::string(limit + 1, 'x'))) ==
          store_error::too_large);
    CHECK(error(store.put("", 0, "x")) == store_error::empty_name);
}

TEST_CASE("changes after a version are each object's last, in order")
{
    object_store_model store;
    store.put("c/a", 0, "1");
    store.put("c/b", 0, "1");
    store.put("d", 0, "1");
    store.put("c/a", 1, "2");
    store.erase("c/b", 2);
    auto const changes = store.changes_after("c/", 1);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].m_object == stored_object{"c/a", 4, "2"});
    CHECK(changes[1].m_deleted);
    CHECK(changes[1].m_object.m_version == 5);
    CHECK(store.list("c/").size() == 1);
    CHECK(store.changes_after("c/", 5).empty());
}

TEST_CASE("the list of instances shows a change only after the lag")
{
    instance_list_model instances;
    instances.set_lag(duration(100));
    instances.set({"entry-1", "leon", "127.0.0.1:1", false}, at(0));
    CHECK(instances.list(at(99)).empty());
    CHECK(instances.list(at(100)).size() == 1);
    instances.set({"entry-1", "leon", "127.0.0.1:1", true}, at(200));
    CHECK_FALSE(instances.list(at(250)).front().m_leaving);
    CHECK(instances.list(at(300)).front().m_leaving);
    instances.remove("entry-1", at(400));
    CHECK(instances.list(at(499)).size() == 1);
    CHECK(instances.list(at(500)).empty());
}

TEST_CASE("calls above a rate are rejected until tokens are refilled")
{
    call_admission admission;
    admission.set_rates({2, 1});
    CHECK(admission.admit(platform_call::get, at(0)) ==
          call_decision::admitted);
    CHECK(admission.admit(platform_call::watch, at(0)) ==
          call_decision::admitted);
    CHECK(admission.admit(platform_call::get, at(0)) ==
          call_decision::rate_limited);
    CHECK(admission.admit(platform_call::put, at(0)) ==
          call_decision::admitted);
    CHECK(admission.admit(platform_call::erase, at(500)) ==
          call_decision::rate_limited);
    CHECK(admission.admit(platform_call::get, at(500)) ==
          call_decision::admitted);
    admission.set_outage(true);
    CHECK(admission.admit(platform_call::get, at(5000)) ==
          call_decision::outage);
    CHECK(admission.counts().m_gets == 2);
    CHECK(admission.counts().m_watches == 1);
    CHECK(admission.counts().m_open_watches == 1);
    CHECK(admission.counts().m_refused == 3);
}
