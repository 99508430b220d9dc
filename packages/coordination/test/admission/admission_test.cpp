#include <algorithm>
#include <array>
#include <functional>
#include <string>

#include <doctest/doctest.h>

#include <camphortide/coordination/limits/admission.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::admission;
using coordination::admission_request;
using coordination::admission_result;
using coordination::entry_limits;
using coordination::slot_class;
using coordination::work;
using state::reason;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

entry_limits entry(std::string const& name, std::string const& customer)
{
    entry_limits limits;
    limits.m_name = name;
    limits.m_customer = customer;
    limits.m_class = name;
    limits.m_queue_time = state::duration(100000);
    limits.m_deadline = state::duration(100000);
    return limits;
}

admission_request request(std::uint64_t id, std::string_view name)
{
    admission_request result;
    result.m_id = id;
    result.m_entry = name;
    result.m_cost = work(10);
    return result;
}

/// Creates an admission with one slot and the given entries.
admission make_admission(
    std::vector<entry_limits> const& entries,
    coordination::priority_rule rule = coordination::priority_rule::weighted)
{
    admission control(rule);
    control.set_entries(entries, at(0));
    control.set_capacity(slot_class::primary, 1, at(0));
    return control;
}

/// Serves requests one at a time and counts them by id / 100.
std::array<int, 4> served_by_hundred(admission& control, std::uint64_t running,
                                     int rounds)
{
    std::array<int, 4> counts{};
    for (int round = 1; round <= rounds; ++round)
    {
        auto const changes =
            control.finished(running, work(10), at(10 * round));
        REQUIRE(changes.m_admitted.size() == 1);
        running = changes.m_admitted.front();
        counts.at(running / 100) += 1;
    }
    return counts;
}

void submit_many(admission& control, std::string_view name, std::uint64_t first,
                 int count)
{
    for (int i = 0; i < count; ++i)
    {
        control.submit(request(first + static_cast<std::uint64_t>(i), name),
                       at(0));
    }
}

} // namespace

TEST_CASE("a request is refused with the reason of the limit that it exceeds")
{
    struct limit_case
    {
        char const* m_what;
        std::function<void(entry_limits&)> m_limit;
        int m_arrivals;
        reason m_reason;
    };
    std::array const cases{
        limit_case{"rate", [](auto& e) { e.m_rate = 2.0; }, 2,
                   reason::rate_limit},
        limit_case{"rate of zero", [](auto& e) { e.m_rate = 0.0; }, 1,
                   reason::rate_limit},
        limit_case{"queue", [](auto& e) { e.m_queue_length = 2; }, 4,
                   reason::queue_full},
        limit_case{"concurrency",
                   [](auto& e)
                   {
                       e.m_concurrency = 1;
                       e.m_queue_length = 0;
                   },
                   2, reason::concurrency_limit},
        limit_case{"concurrency of zero", [](auto& e) { e.m_concurrency = 0; },
                   1, reason::concurrency_limit},
        limit_case{"queue time",
                   [](auto& e) { e.m_queue_time = state::duration(15); }, 3,
                   reason::queue_full},
        limit_case{"deadline",
                   [](auto& e) { e.m_deadline = state::duration(25); }, 3,
                   reason::deadline_too_short},
    };
    for (auto const& each : cases)
    {
        CAPTURE(each.m_what);
        auto limits = entry("a", "o");
        each.m_limit(limits);
        auto control = make_admission({limits});
        for (int i = 1; i < each.m_arrivals; ++i)
        {
            auto const id = static_cast<std::uint64_t>(i);
            CHECK(control.submit(request(id, "a"), at(0)).m_result !=
                  admission_result::refused);
        }
        auto const last = control.submit(request(99, "a"), at(0));
        CHECK(last.m_result == admission_result::refused);
        CHECK(last.m_reason == each.m_reason);
        CHECK(last.m_retry_after > state::duration(0));
    }
}

TEST_CASE("unknown entries and passed deadlines are refused")
{
    auto control = make_admission({entry("a", "o")});
    CHECK(control.submit(request(1, "b"), at(0)).m_reason ==
          reason::unknown_entry);
    auto late = request(2, "a");
    late.m_deadline = at(5);
    CHECK(control.submit(late, at(5)).m_reason == reason::deadline_exceeded);
}

TEST_CASE("a queued request is refused once it can't finish in time")
{
    auto control = make_admission({entry("a", "o")});
    control.submit(request(1, "a"), at(0));
    auto waiting = request(2, "a");
    waiting.m_deadline = at(500);
    REQUIRE(control.submit(waiting, at(0)).m_result ==
            admission_result::queued);
    CHECK(control.next_expiry() == at(490));
    CHECK(control.tick(at(490)).m_refused.empty());
    auto const changes = control.tick(at(491));
    REQUIRE(changes.m_refused.size() == 1);
    CHECK(changes.m_refused.front().m_id == 2);
    CHECK(changes.m_refused.front().m_reason == reason::deadline_exceeded);
    CHECK(control.finished(1, work(491), at(491)).m_admitted.empty());
    CHECK(control.load("a").m_queued == 0);
}

TEST_CASE("an expired request is skipped and the next one gets the slot")
{
    auto control = make_admission({entry("a", "o")});
    control.submit(request(1, "a"), at(0));
    auto late = request(2, "a");
    late.m_deadline = at(50);
    control.submit(late, at(0));
    control.submit(request(3, "a"), at(0));
    auto const changes = control.finished(1, work(60), at(60));
    REQUIRE(changes.m_refused.size() == 1);
    CHECK(changes.m_refused.front().m_id == 2);
    CHECK(changes.m_admitted == std::vector<std::uint64_t>{3});
}

TEST_CASE("customers share slots evenly, entries of a customer by weight")
{
    auto heavy = entry("heavy", "one");
    heavy.m_weight = 3;
    auto control =
        make_admission({heavy, entry("light", "one"), entry("other", "two")});
    submit_many(control, "heavy", 100, 60);
    submit_many(control, "light", 200, 60);
    submit_many(control, "other", 300, 60);
    auto const counts = served_by_hundred(control, 100, 80);
    CHECK(counts[1] == 30);
    CHECK(counts[2] == 10);
    CHECK(counts[3] == 40);
}

TEST_CASE("priorities take precedence under the strict rule only")
{
    using coordination::priority_rule;
    for (auto const rule : {priority_rule::strict, priority_rule::weighted})
    {
        auto urgent = entry("urgent", "one");
        urgent.m_priority = 1;
        auto control = make_admission({urgent, entry("other", "two")}, rule);
        submit_many(control, "other", 200, 20);
        submit_many(control, "urgent", 100, 10);
        auto const counts = served_by_hundred(control, 200, 9);
        CHECK(counts[1] == (rule == priority_rule::strict ? 9 : 5));
    }
}

TEST_CASE("an idle flow catches up by a bounded credit, then shares evenly")
{
    auto control = make_admission({entry("busy", "one"), entry("idle", "two")});
    submit_many(control, "busy", 100, 62);
    auto const alone = served_by_hundred(control, 100, 40);
    CHECK(alone[1] == 40);
    submit_many(control, "idle", 200, 40);
    // The credit of 100 ms equals ten requests of 10 ms.
    auto const first = served_by_hundred(control, 140, 10);
    CHECK(first[2] == 10);
    auto const then = served_by_hundred(control, 209, 20);
    CHECK(then[2] >= 10);
    CHECK(then[2] <= 11);
}

TEST_CASE("slot classes have their own slots and share the concurrency limit")
{
    auto limits = entry("a", "o");
    limits.m_concurrency = 2;
    auto control = make_admission({limits});
    control.set_capacity(slot_class::replica, 5, at(0));
    auto read = request(1, "a");
    read.m_slot_class = slot_class::replica;
    CHECK(control.submit(read, at(0)).m_result == admission_result::admitted);
    read.m_id = 2;
    CHECK(control.submit(read, at(0)).m_result == admission_result::admitted);
    CHECK(control.submit(request(3, "a"), at(0)).m_result ==
          admission_result::queued);
    CHECK(control.finished(1, work(5), at(5)).m_admitted ==
          std::vector<std::uint64_t>{3});
    CHECK(control.load("a").m_running == 2);
}

TEST_CASE(
    "requests that can't be served after slots are lost are refused at once")
{
    auto control = make_admission({entry("a", "o")});
    control.set_capacity(slot_class::primary, 4, at(0));
    for (std::uint64_t id = 1; id <= 13; ++id)
    {
        auto result = request(id, "a");
        result.m_cost = work(100);
        result.m_deadline = at(480);
        CHECK(control.submit(result, at(0)).m_result !=
              admission_result::refused);
    }
    auto const changes = control.set_capacity(slot_class::primary, 1, at(1));
    // Four run; one slot serves four of the nine queued ones in time.
    REQUIRE(changes.m_refused.size() == 5);
    std::uint64_t expected = 13;
    for (auto const& refusal : changes.m_refused)
    {
        CHECK(refusal.m_id == expected--);
        CHECK(refusal.m_reason == reason::deadline_too_short);
    }
}

TEST_CASE("requests are queued without slots and start when one is added")
{
    auto control = make_admission({entry("a", "o")});
    control.set_capacity(slot_class::primary, 0, at(0));
    CHECK(control.submit(request(1, "a"), at(0)).m_result ==
          admission_result::queued);
    CHECK(control.submit(request(2, "a"), at(0)).m_result ==
          admission_result::queued);
    CHECK(control.set_capacity(slot_class::primary, 1, at(200)).m_admitted ==
          std::vector<std::uint64_t>{1});
}

TEST_CASE("retries are limited to a share of the first attempts")
{
    auto limits = entry("a", "o");
    limits.m_retry_share = 0.25;
    auto control = make_admission({limits});
    int allowed = 0;
    for (std::uint64_t id = 1; id <= 40; ++id)
    {
        auto first = request(2 * id, "a");
        CHECK(control.submit(first, at(0)).m_result !=
              admission_result::refused);
        auto again = request(2 * id + 1, "a");
        again.m_retry = true;
        auto const answer = control.submit(again, at(0));
        allowed += answer.m_result != admission_result::refused ? 1 : 0;
    }
    CHECK(allowed == 10);
}

TEST_CASE("an entry that was slow once is not refused forever")
{
    auto limits = entry("a", "o");
    limits.m_deadline = state::duration(100);
    auto control = make_admission({limits});
    auto result = request(1, "a");
    result.m_cost.reset();
    CHECK(control.submit(result, at(0)).m_result == admission_result::admitted);
    control.finished(1, work(5000), at(5000));
    result.m_id = 2;
    CHECK(control.submit(result, at(5001)).m_reason ==
          reason::deadline_too_short);
    result.m_id = 3;
    CHECK(control.submit(result, at(6001)).m_result ==
          admission_result::admitted);
}

TEST_CASE("a catalogue change may change, remove and restore entries")
{
    auto control = make_admission({entry("a", "one"), entry("b", "two")});
    control.submit(request(1, "a"), at(0));
    control.submit(request(2, "a"), at(0));
    control.submit(request(3, "b"), at(0));
    std::vector const only_b{entry("b", "two")};
    auto const changes = control.set_entries(only_b, at(1));
    REQUIRE(changes.m_refused.size() == 1);
    CHECK(changes.m_refused.front().m_id == 2);
    CHECK(changes.m_refused.front().m_reason == reason::unknown_entry);
    CHECK(control.finished(1, work(10), at(10)).m_admitted ==
          std::vector<std::uint64_t>{3});
    std::vector const both{entry("a", "one"), entry("b", "three")};
    control.set_entries(both, at(11));
    CHECK(control.submit(request(4, "a"), at(11)).m_result ==
          admission_result::queued);
}

TEST_CASE("a cancelled request is neither admitted nor found again")
{
    auto control = make_admission({entry("a", "o")});
    control.submit(request(1, "a"), at(0));
    control.submit(request(2, "a"), at(0));
    CHECK(control.cancel(2, at(1)));
    CHECK_FALSE(control.cancel(2, at(1)));
    CHECK_FALSE(control.cancel(1, at(1)));
    CHECK(control.finished(1, work(1), at(2)).m_admitted.empty());
    CHECK(control.finished(1, work(1), at(2)) ==
          coordination::admission_changes{});
}
