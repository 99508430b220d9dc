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

/// An executed write whose key is "k" and its number.
load::request_record write_of(std::uint64_t number,
                              std::string const& statement, milliseconds sent)
{
    load::request_record result;
    result.m_request.m_number = number;
    result.m_request.m_owner = "desks";
    result.m_request.m_session = "desks-1";
    result.m_request.m_group = "loans";
    result.m_request.m_kind = transport::traffic_kind::write;
    result.m_request.m_statements = {statement};
    result.m_key = "k" + std::to_string(number);
    result.m_sent = sent;
    result.m_answered = sent + milliseconds(1);
    result.m_told = state::outcome::executed;
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

/// Two writes to a row by one session, and a second row by a third write.
load::run_facts good_run()
{
    load::run_facts facts;
    facts.m_history = {
        write_of(1, "set toy:1 a1", milliseconds(0)),
        write_of(2, "set toy:1 a2", milliseconds(10)),
        read_of("toy:1", "a2", milliseconds(20)),
        write_of(3, "claim loan:3 a3", milliseconds(30)),
    };
    facts.m_truths = {
        load::group_truth("loans", {record_of("k1", {"set toy:1 a1"}),
                                    record_of("k2", {"set toy:1 a2"}),
                                    record_of("k3", {"claim loan:3 a3"})})};
    facts.m_end = milliseconds(60000);
    facts.m_lives = {{"entry-1", load::run_time{0}, std::nullopt}};
    facts.m_changes = {{2, milliseconds(1000), milliseconds(6000)}};
    facts.m_sightings = {{"entry-1", 1, milliseconds(0)},
                         {"entry-1", 2, milliseconds(1100)}};
    facts.m_leavers = {{"loans-a", 10, 10}};
    facts.m_drains = {{"entry-1", true}};
    facts.m_races = {{"checkouts", 1}};
    return facts;
}

std::vector<load::promise> broken_by(load::run_facts const& facts)
{
    std::vector<load::promise> result;
    for (auto const& each : load::check_promises(facts))
    {
        result.push_back(each.m_promise);
    }
    return result;
}

using promises = std::vector<load::promise>;

} // namespace

TEST_CASE("a good history breaks nothing")
{
    CHECK(broken_by(good_run()).empty());
}

TEST_CASE("an acknowledged write that is lost is caught")
{
    auto facts = good_run();
    facts.m_truths = {
        load::group_truth("loans", {record_of("k1", {"set toy:1 a1"}),
                                    record_of("k2", {"set toy:1 a2"})})};
    CHECK(broken_by(facts) ==
          promises{load::promise::acknowledged_writes_stay});
}

TEST_CASE("an effect that stands twice is caught")
{
    auto facts = good_run();
    SUBCASE("under one key")
    {
        facts.m_truths = {
            load::group_truth("loans", {record_of("k1", {"set toy:1 a1"}),
                                        record_of("k2", {"set toy:1 a2"}),
                                        record_of("k3", {"claim loan:3 a3"}),
                                        record_of("k3", {"claim loan:3 a3"})})};
    }
    SUBCASE("under the keys of two attempts")
    {
        auto again = facts.m_history.back();
        again.m_attempt = 2;
        again.m_key = "k3b";
        facts.m_history.push_back(again);
        facts.m_truths = {load::group_truth(
            "loans", {record_of("k1", {"set toy:1 a1"}),
                      record_of("k2", {"set toy:1 a2"}),
                      record_of("k3", {"claim loan:3 a3"}),
                      record_of("k3b", {"claim loan:3 a3"})})};
    }
    CHECK(broken_by(facts) == promises{load::promise::at_most_once});
}

TEST_CASE("a write that was told not executed and ran is caught")
{
    auto facts = good_run();
    SUBCASE("told at once")
    {
        facts.m_history.back().m_told = state::outcome::not_executed;
    }
    SUBCASE("told after a question")
    {
        facts.m_history.back().m_told = state::outcome::unknown;
        facts.m_history.back().m_outcome = state::outcome::not_executed;
    }
    CHECK(broken_by(facts) == promises{load::promise::not_executed_is_true});
}

TEST_CASE("a read without the session's own write is caught")
{
    auto facts = good_run();
    facts.m_history[2].m_result = "a1";
    CHECK(broken_by(facts) == promises{load::promise::read_your_writes});
}

TEST_CASE("a read that goes back is caught")
{
    auto facts = good_run();
    auto newer = read_of("toy:1", "a2", milliseconds(20));
    auto older = read_of("toy:1", "a1", milliseconds(22));
    newer.m_request.m_session = older.m_request.m_session = "desks-2";
    facts.m_history.push_back(newer);
    facts.m_history.push_back(older);
    CHECK(broken_by(facts) == promises{load::promise::monotonic_reads});
}

TEST_CASE("a value that no log holds is caught")
{
    auto facts = good_run();
    facts.m_history[2].m_result = "a9";
    CHECK(broken_by(facts) == promises{load::promise::monotonic_reads});
}

TEST_CASE("data that is too old is caught")
{
    auto facts = good_run();
    auto old = read_of("toy:1", "a1", milliseconds(511 + 1));
    old.m_request.m_session = "desks-2";
    old.m_from_replica = true;
    SUBCASE("older than the entry allows")
    {
        old.m_request.m_age_allowed = state::duration(500);
        old.m_age = state::duration(500);
        facts.m_history.push_back(old);
        CHECK(broken_by(facts) == promises{load::promise::age_of_answers});
    }
    SUBCASE("older than the answer states")
    {
        old.m_request.m_age_allowed = state::duration(5000);
        old.m_age = state::duration(20);
        facts.m_history.push_back(old);
        CHECK(broken_by(facts) == promises{load::promise::age_of_answers});
    }
    SUBCASE("old where no age is allowed")
    {
        old.m_tokens_known = true;
        facts.m_history.push_back(old);
        CHECK(broken_by(facts) == promises{load::promise::age_of_answers});
    }
    SUBCASE("within what is allowed and stated")
    {
        old.m_request.m_age_allowed = state::duration(501);
        old.m_age = state::duration(501);
        facts.m_history.push_back(old);
        CHECK(broken_by(facts).empty());
    }
}

TEST_CASE("an answer to another request is caught")
{
    auto facts = good_run();
    SUBCASE("of a read")
    {
        facts.m_history.push_back(read_of("toy:1", "a3", milliseconds(50)));
        facts.m_history.back().m_request.m_session = "desks-2";
        CHECK(broken_by(facts) == promises{load::promise::own_answers,
                                           load::promise::monotonic_reads});
    }
    SUBCASE("of a write")
    {
        facts.m_history.back().m_result = "a2";
        CHECK(broken_by(facts) == promises{load::promise::own_answers});
    }
}

TEST_CASE("a record that mixes two transactions is caught")
{
    auto facts = good_run();
    facts.m_truths = {load::group_truth(
        "loans",
        {record_of("k1", {"set toy:1 a1"}), record_of("k2", {"set toy:1 a2"}),
         record_of("k3", {"claim loan:3 a3", "add kit:7 1"})})};
    CHECK(broken_by(facts) == promises{load::promise::unmixed_transactions});
}

TEST_CASE("work for a leaver is caught")
{
    auto facts = good_run();
    facts.m_leavers = {{"loans-a", 10, 11}};
    CHECK(broken_by(facts) == promises{load::promise::no_work_for_leavers});
}

TEST_CASE("a stop that interrupts is caught")
{
    auto facts = good_run();
    facts.m_drains = {{"entry-1", false}};
    CHECK(broken_by(facts) == promises{load::promise::stops_interrupt_nothing});
}

TEST_CASE("a catalogue that reverts or is late is caught")
{
    auto facts = good_run();
    SUBCASE("reverts")
    {
        facts.m_sightings.push_back({"entry-1", 1, milliseconds(2000)});
    }
    SUBCASE("takes both of two edits of an entry")
    {
        facts.m_races = {{"checkouts", 2}};
    }
    SUBCASE("late")
    {
        facts.m_sightings.back().m_at = milliseconds(6001);
    }
    SUBCASE("never")
    {
        facts.m_sightings.pop_back();
    }
    CHECK(broken_by(facts) == promises{load::promise::catalogue_in_force});
}
