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
using guarantees = std::vector<load::guarantee>;

standin::record record_of(std::string const& key,
                          std::vector<std::string> statements)
{
    standin::record result;
    result.m_term = state::term(1);
    result.m_key = key.empty() ? key : coordination::scoped_key("dealers", key);
    result.m_statements = std::move(statements);
    return result;
}

load::request_record attempt_of(std::uint64_t number, milliseconds sent)
{
    load::request_record result;
    result.m_request.m_number = number;
    result.m_request.m_customer = "dealers";
    result.m_request.m_session = "dealers-" + std::to_string(number);
    result.m_request.m_group = "members";
    result.m_key = "k" + std::to_string(number);
    result.m_sent = sent;
    result.m_answered = sent + milliseconds(1);
    result.m_first_outcome = state::outcome::executed;
    result.m_outcome = state::outcome::executed;
    return result;
}

std::vector<std::string> deposit(std::string const& number)
{
    return {"get unit:1", "claim deposit:" + number + " d" + number,
            "add ledger:1 1"};
}

/// A write of an appraisal, then three deposit transactions: one committed, one
/// rolled back and one whose outcome stayed unknown.
load::history good_history()
{
    auto appraisal = attempt_of(1, milliseconds(0));
    appraisal.m_request.m_kind = transport::traffic_kind::write;
    appraisal.m_request.m_statements = {"set unit:1 a1"};
    appraisal.m_result = "a1";
    load::history result{appraisal};
    for (auto const number : {2U, 3U, 4U})
    {
        auto one = attempt_of(number, milliseconds(10 * number));
        one.m_request.m_kind = transport::traffic_kind::transaction;
        one.m_request.m_statements = deposit(std::to_string(number));
        one.m_results = {"a1", "d" + std::to_string(number), "1"};
        result.push_back(one);
    }
    result[2].m_outcome = result[2].m_first_outcome =
        state::outcome::not_executed;
    result[3].m_outcome = result[3].m_first_outcome = state::outcome::unknown;
    return result;
}

std::vector<standin::record> good_log()
{
    return {record_of("k1", {"set unit:1 a1"}), record_of("k2", deposit("2"))};
}

guarantees violated_by(load::history const& attempts,
                       std::vector<standin::record> const& log)
{
    load::run_observations observed;
    observed.m_history = attempts;
    observed.m_group_logs = {load::group_log("members", log)};
    guarantees result;
    for (auto const& each : load::check_guarantees(observed))
    {
        result.push_back(each.m_guarantee);
    }
    return result;
}

} // namespace

TEST_CASE("complete or absent transactions cause no violation")
{
    auto log = good_log();
    SUBCASE("the unknown one has no record") {}
    SUBCASE("the unknown one is complete")
    {
        log.push_back(record_of("k4", deposit("4")));
    }
    CHECK(violated_by(good_history(), log).empty());
}

TEST_CASE("an incomplete committed transaction is detected")
{
    auto log = good_log();
    SUBCASE("without its last statement")
    {
        log[1].m_statements.pop_back();
    }
    SUBCASE("without its first statement")
    {
        log[1].m_statements.erase(log[1].m_statements.begin());
    }
    CHECK(violated_by(good_history(), log) ==
          guarantees{load::guarantee::whole_transactions});
}

TEST_CASE("an incomplete transaction of unknown outcome is detected")
{
    auto log = good_log();
    log.push_back(record_of("k4", {"get unit:1", "claim deposit:4 d4"}));
    CHECK(violated_by(good_history(), log) ==
          guarantees{load::guarantee::whole_transactions});
}

TEST_CASE("a lost committed transaction is detected")
{
    auto log = good_log();
    log.pop_back();
    CHECK(violated_by(good_history(), log) ==
          guarantees{load::guarantee::acknowledged_writes_stay});
}

TEST_CASE("statements of two transactions in one record are detected")
{
    auto log = good_log();
    SUBCASE("one more")
    {
        log[1].m_statements.emplace_back("add ledger:9 1");
    }
    SUBCASE("one instead of another")
    {
        log[1].m_statements[2] = "add ledger:9 1";
    }
    SUBCASE("in another order")
    {
        std::swap(log[1].m_statements[0], log[1].m_statements[2]);
    }
    CHECK(violated_by(good_history(), log) ==
          guarantees{load::guarantee::unmixed_transactions});
}

TEST_CASE("a statement under another transaction's key is detected")
{
    auto log = good_log();
    log[1].m_statements.emplace_back("claim deposit:4 d4");
    CHECK(violated_by(good_history(), log) ==
          guarantees{load::guarantee::unmixed_transactions});
}

TEST_CASE("a statement in a record without a key is detected")
{
    auto log = good_log();
    log.push_back(record_of("", {"claim deposit:4 d4"}));
    CHECK(violated_by(good_history(), log) ==
          guarantees{load::guarantee::unmixed_transactions});
}

TEST_CASE("a transaction that left records but was reported as not executed "
          "is detected")
{
    auto log = good_log();
    SUBCASE("all statements")
    {
        log.push_back(record_of("k3", deposit("3")));
        CHECK(violated_by(good_history(), log) ==
              guarantees{load::guarantee::not_executed_is_true});
    }
    SUBCASE("some statements")
    {
        log.push_back(record_of("k3", {"claim deposit:3 d3"}));
        CHECK(violated_by(good_history(), log) ==
              guarantees{load::guarantee::not_executed_is_true,
                         load::guarantee::whole_transactions});
    }
    SUBCASE("a statement without a key")
    {
        log.push_back(record_of("", {"claim deposit:3 d3"}));
        CHECK(violated_by(good_history(), log) ==
              guarantees{load::guarantee::not_executed_is_true,
                         load::guarantee::unmixed_transactions});
    }
}

TEST_CASE("a transaction that ran twice is detected")
{
    auto log = good_log();
    auto attempts = good_history();
    SUBCASE("under one key")
    {
        log.push_back(record_of("k2", deposit("2")));
    }
    SUBCASE("under the keys of two attempts")
    {
        auto again = attempts[1];
        again.m_key = "k2b";
        again.m_attempt = 2;
        attempts.push_back(again);
        log.push_back(record_of("k2b", deposit("2")));
    }
    CHECK(violated_by(attempts, log) ==
          guarantees{load::guarantee::at_most_once});
}

TEST_CASE("results that belong to another request are detected")
{
    auto attempts = good_history();
    SUBCASE("of its write")
    {
        attempts[1].m_results[1] = "d3";
        CHECK(violated_by(attempts, good_log()) ==
              guarantees{load::guarantee::own_answers});
    }
    SUBCASE("of its read")
    {
        attempts[1].m_results[0] = "d3";
        CHECK(violated_by(attempts, good_log()) ==
              guarantees{load::guarantee::own_answers,
                         load::guarantee::monotonic_reads});
    }
}

TEST_CASE("a committed transaction that read old data is detected")
{
    auto attempts = good_history();
    attempts[1].m_results[0] = "";
    SUBCASE("of its own session")
    {
        attempts[1].m_request.m_session = attempts[0].m_request.m_session;
        CHECK(violated_by(attempts, good_log()) ==
              guarantees{load::guarantee::read_your_writes,
                         load::guarantee::age_of_answers});
    }
    SUBCASE("of another session")
    {
        CHECK(violated_by(attempts, good_log()) ==
              guarantees{load::guarantee::age_of_answers});
    }
}

TEST_CASE("a transaction that a planned stop interrupted is detected")
{
    load::run_observations observed;
    observed.m_history = good_history();
    observed.m_group_logs = {load::group_log("members", good_log())};
    observed.m_history[2].m_reason = state::reason::transaction_lost;
    observed.m_drains = {{"entry-1", true, milliseconds(20), milliseconds(29)}};
    SUBCASE("with planned faults only")
    {
        observed.m_only_planned_faults = true;
        auto const violations = load::check_guarantees(observed);
        REQUIRE(violations.size() == 1);
        CHECK(violations.front().m_guarantee ==
              load::guarantee::stops_interrupt_nothing);
    }
    SUBCASE("ignored if there were other faults")
    {
        CHECK(load::check_guarantees(observed).empty());
    }
    SUBCASE("ignored long before the stop")
    {
        observed.m_only_planned_faults = true;
        observed.m_drains.front().m_from = milliseconds(5000);
        observed.m_drains.front().m_until = milliseconds(6000);
        CHECK(load::check_guarantees(observed).empty());
    }
}
