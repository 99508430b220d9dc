#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/request/key_registry.hpp>
#include <camphortide/load/checker/checker.hpp>

namespace coordination = camphortide::coordination;
namespace load = camphortide::load;
namespace standin = camphortide::standin;
namespace state = camphortide::state;
namespace transport = camphortide::transport;

namespace
{

using std::chrono::milliseconds;

standin::record record_of(std::string const& key,
                          std::vector<std::string> statements)
{
    standin::record result;
    result.m_term = state::term(1);
    result.m_key = coordination::scoped_key("desks", key);
    result.m_statements = std::move(statements);
    return result;
}

/// An executed write whose key is "k" followed by its number.
load::request_record write_of(std::uint64_t number,
                              std::string const& statement, milliseconds sent)
{
    load::request_record result;
    result.m_request.m_number = number;
    result.m_request.m_customer = "desks";
    result.m_request.m_session = "desks-1";
    result.m_request.m_group = "loans";
    result.m_request.m_kind = transport::traffic_kind::write;
    result.m_request.m_statements = {statement};
    result.m_key = "k" + std::to_string(number);
    result.m_sent = sent;
    result.m_answered = sent + milliseconds(1);
    result.m_first_outcome = state::outcome::executed;
    result.m_outcome = state::outcome::executed;
    result.m_result = statement.substr(statement.rfind(' ') + 1);
    return result;
}

load::request_record read_of(std::string const& row, std::string const& value,
                             milliseconds sent)
{
    auto result = write_of(1000, "get " + row, sent);
    result.m_request.m_kind = transport::traffic_kind::read;
    result.m_key.clear();
    result.m_result = value;
    return result;
}

/// A run without violations: two writes to one row by the same session, and a
/// write to a second row.
load::run_observations good_run()
{
    load::run_observations observed;
    observed.m_history = {
        write_of(1, "set toy:1 a1", milliseconds(0)),
        write_of(2, "set toy:1 a2", milliseconds(10)),
        read_of("toy:1", "a2", milliseconds(20)),
        write_of(3, "claim loan:3 a3", milliseconds(30)),
    };
    observed.m_group_logs = {
        load::group_log("loans", {record_of("k1", {"set toy:1 a1"}),
                                  record_of("k2", {"set toy:1 a2"}),
                                  record_of("k3", {"claim loan:3 a3"})})};
    observed.m_end = milliseconds(60000);
    observed.m_lifetimes = {{"entry-1", load::run_time{0}, std::nullopt}};
    observed.m_changes = {{2, milliseconds(1000), milliseconds(6000)}};
    observed.m_adoptions = {{"entry-1", 1, milliseconds(0)},
                            {"entry-1", 2, milliseconds(1100)}};
    observed.m_leaving_members = {{"loans-a", 10, 10}};
    observed.m_drains = {{"entry-1", true}};
    observed.m_races = {{"checkouts", 1}};
    return observed;
}

std::vector<load::guarantee> violated_by(load::run_observations const& observed)
{
    std::vector<load::guarantee> result;
    for (auto const& each : load::check_guarantees(observed))
    {
        result.push_back(each.m_guarantee);
    }
    return result;
}

using guarantees = std::vector<load::guarantee>;

} // namespace

TEST_CASE("a valid history has no violations")
{
    CHECK(violated_by(good_run()).empty());
}

TEST_CASE("a lost acknowledged write is detected")
{
    auto observed = good_run();
    observed.m_group_logs = {
        load::group_log("loans", {record_of("k1", {"set toy:1 a1"}),
                                  record_of("k2", {"set toy:1 a2"})})};
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::acknowledged_writes_stay});
}

TEST_CASE("a request that ran twice is detected")
{
    auto observed = good_run();
    SUBCASE("under one key")
    {
        observed.m_group_logs = {
            load::group_log("loans", {record_of("k1", {"set toy:1 a1"}),
                                      record_of("k2", {"set toy:1 a2"}),
                                      record_of("k3", {"claim loan:3 a3"}),
                                      record_of("k3", {"claim loan:3 a3"})})};
    }
    SUBCASE("under the keys of two attempts")
    {
        auto again = observed.m_history.back();
        again.m_attempt = 2;
        again.m_key = "k3b";
        observed.m_history.push_back(again);
        observed.m_group_logs = {
            load::group_log("loans", {record_of("k1", {"set toy:1 a1"}),
                                      record_of("k2", {"set toy:1 a2"}),
                                      record_of("k3", {"claim loan:3 a3"}),
                                      record_of("k3b", {"claim loan:3 a3"})})};
    }
    CHECK(violated_by(observed) == guarantees{load::guarantee::at_most_once});
}

TEST_CASE("a write that ran but was reported as not executed is detected")
{
    auto observed = good_run();
    SUBCASE("in the first answer")
    {
        observed.m_history.back().m_first_outcome =
            state::outcome::not_executed;
    }
    SUBCASE("in the answer to an outcome query")
    {
        observed.m_history.back().m_first_outcome = state::outcome::unknown;
        observed.m_history.back().m_outcome = state::outcome::not_executed;
    }
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::not_executed_is_true});
}

TEST_CASE("a read that misses the session's own write is detected")
{
    auto observed = good_run();
    observed.m_history[2].m_result = "a1";
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::read_your_writes});
}

TEST_CASE("a read older than the session's previous read is detected")
{
    auto observed = good_run();
    auto newer = read_of("toy:1", "a2", milliseconds(20));
    auto older = read_of("toy:1", "a1", milliseconds(22));
    newer.m_request.m_session = older.m_request.m_session = "desks-2";
    observed.m_history.push_back(newer);
    observed.m_history.push_back(older);
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::monotonic_reads});
}

TEST_CASE("a value that is in no log is detected")
{
    auto observed = good_run();
    observed.m_history[2].m_result = "a9";
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::monotonic_reads});
}

TEST_CASE("data that is too old is detected")
{
    auto observed = good_run();
    auto old = read_of("toy:1", "a1", milliseconds(511 + 1));
    old.m_request.m_session = "desks-2";
    old.m_from_replica = true;
    SUBCASE("older than the entry allows")
    {
        old.m_request.m_max_age = state::duration(500);
        old.m_age = state::duration(500);
        observed.m_history.push_back(old);
        CHECK(violated_by(observed) ==
              guarantees{load::guarantee::age_of_answers});
    }
    SUBCASE("older than the answer states")
    {
        old.m_request.m_max_age = state::duration(5000);
        old.m_age = state::duration(20);
        observed.m_history.push_back(old);
        CHECK(violated_by(observed) ==
              guarantees{load::guarantee::age_of_answers});
    }
    SUBCASE("old where no age is allowed")
    {
        old.m_tokens_decoded = true;
        observed.m_history.push_back(old);
        CHECK(violated_by(observed) ==
              guarantees{load::guarantee::age_of_answers});
    }
    SUBCASE("within what is allowed and stated")
    {
        old.m_request.m_max_age = state::duration(501);
        old.m_age = state::duration(501);
        observed.m_history.push_back(old);
        CHECK(violated_by(observed).empty());
    }
}

TEST_CASE("an answer to another request is detected")
{
    auto observed = good_run();
    SUBCASE("of a read")
    {
        observed.m_history.push_back(read_of("toy:1", "a3", milliseconds(50)));
        observed.m_history.back().m_request.m_session = "desks-2";
        CHECK(violated_by(observed) ==
              guarantees{load::guarantee::own_answers,
                         load::guarantee::monotonic_reads});
    }
    SUBCASE("of a write")
    {
        observed.m_history.back().m_result = "a2";
        CHECK(violated_by(observed) ==
              guarantees{load::guarantee::own_answers});
    }
}

TEST_CASE("a record that mixes two transactions is detected")
{
    auto observed = good_run();
    observed.m_group_logs = {load::group_log(
        "loans",
        {record_of("k1", {"set toy:1 a1"}), record_of("k2", {"set toy:1 a2"}),
         record_of("k3", {"claim loan:3 a3", "add kit:7 1"})})};
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::unmixed_transactions});
}

TEST_CASE("work sent to a leaving member after the grace is detected")
{
    auto observed = good_run();
    observed.m_leaving_members = {{"loans-a", 10, 11}};
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::no_work_for_leavers});
}

TEST_CASE("a planned stop that interrupts requests is detected")
{
    auto observed = good_run();
    observed.m_drains = {{"entry-1", false}};
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::stops_interrupt_nothing});
}

TEST_CASE("a catalogue that reverts or arrives late is detected")
{
    auto observed = good_run();
    SUBCASE("reverts")
    {
        observed.m_adoptions.push_back({"entry-1", 1, milliseconds(2000)});
    }
    SUBCASE("accepts two concurrent edits of an entry")
    {
        observed.m_races = {{"checkouts", 2}};
    }
    SUBCASE("late")
    {
        observed.m_adoptions.back().m_at = milliseconds(6001);
    }
    SUBCASE("never")
    {
        observed.m_adoptions.pop_back();
    }
    CHECK(violated_by(observed) ==
          guarantees{load::guarantee::catalogue_in_force});
}
