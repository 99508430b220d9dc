// Prints the mean CPU time of the decisions in the request path, and the size
// of session tokens. Takes no arguments.
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <camphortide/coordination/request/accept_read.hpp>
#include <camphortide/coordination/request/connection_pool.hpp>
#include <camphortide/coordination/request/read_router.hpp>
#include <camphortide/coordination/request/write_tracker.hpp>
#include <camphortide/protocol/token_codec.hpp>

namespace
{

using namespace camphortide;
using namespace camphortide::coordination;

constexpr int call_count = 200000;
constexpr std::size_t members = 3;
constexpr std::uint64_t sample_count = 500;
constexpr std::uint64_t pending_writes = 256;
state::term const term(7);

state::time_point at(std::int64_t ms)
{
    return state::time_point(state::duration(ms));
}

/// Prints the mean duration of a call.
template <typename Call>
void measure(char const* what, Call const& call)
{
    auto const start = std::chrono::steady_clock::now();
    std::uint64_t sum = 0;
    for (int i = 0; i < call_count; ++i)
    {
        sum += call(static_cast<std::uint64_t>(i));
    }
    std::chrono::duration<double, std::nano> const elapsed =
        std::chrono::steady_clock::now() - start;
    std::printf("%-28s %8.0f ns  (check sum %llu)\n", what,
                elapsed.count() / call_count,
                static_cast<unsigned long long>(sum));
}

freshness filled_samples()
{
    freshness samples(members);
    for (std::uint64_t i = 1; i <= sample_count; ++i)
    {
        auto const time = at(static_cast<std::int64_t>(i) * 10);
        samples.note_probe_sent(i, time);
        for (auto const* const member : {"a", "b", "c"})
        {
            state::member_status status;
            status.m_member = member;
            status.m_role = *member == 'a' ? state::member_role::primary
                                           : state::member_role::replica;
            status.m_granted = status.m_followed = term;
            status.m_received = {term, i};
            status.m_probe = i;
            samples.note_status(status);
        }
    }
    return samples;
}

std::vector<member_view> member_views()
{
    std::vector<member_view> result(members);
    for (auto& member : result)
    {
        member.m_role = state::member_role::replica;
        member.m_applied = sample_count - 5;
        member.m_free_connections = 1;
        member.m_latency = state::duration(3);
    }
    result[0].m_role = state::member_role::primary;
    return result;
}

log_view log()
{
    return {term,
            {term, sample_count},
            state::term_history({{state::term(1), 1}, {term, 2}}),
            sample_count};
}

void measure_reads()
{
    auto const samples = filled_samples();
    auto const views = member_views();
    auto const now = at(static_cast<std::int64_t>(sample_count) * 10);
    read_router const router(make_covering_replica());
    read_requirement requirement;
    requirement.m_source = read_requirement::source::any;
    requirement.m_max_age = state::duration(1000);
    requirement.m_covered = state::log_position{term, sample_count / 2};
    requirement.m_deadline = deadline(now + state::duration(1000));
    measure("route a read",
            [&](std::uint64_t i)
            {
                return router
                    .route({requirement, views, samples, 0, false, i, now})
                    .m_member;
            });
    auto const view = log();
    measure("check an answer",
            [&](std::uint64_t i)
            {
                state::log_position const answer{term, sample_count - i % 50};
                return static_cast<std::uint64_t>(
                    accept_read(answer, requirement, view, samples, now)
                        .m_decision);
            });
}

/// Measures a write from its start to its acknowledgement while other writes
/// wait for the safe index to advance.
void measure_writes()
{
    write_tracker tracker;
    auto view = log();
    measure("a write, to its safe record",
            [&](std::uint64_t i)
            {
                tracker.add_write(i, std::to_string(i), deadline(at(1 << 30)));
                tracker.note_sent(i, term);
                tracker.answered(
                    i,
                    {statement_code::ok, {term, sample_count + i + 1}, false});
                view.m_safe = sample_count +
                              (i > pending_writes ? i - pending_writes : 0);
                return tracker.log_changed(view).size();
            });
}

void measure_connections()
{
    connection_pool pool({.m_min_idle = 8, .m_max_uses = ~std::uint64_t{0}});
    pool.set_budget(8);
    for (auto const& action : pool.step(at(0)))
    {
        pool.opened(action.m_connection, at(0));
    }
    measure("acquire, send, answer",
            [&](std::uint64_t)
            {
                auto const id = *pool.acquire(at(1));
                auto const request = pool.next_request(id);
                pool.match_answer(id, request);
                pool.release(id, at(1));
                return request & 1U;
            });
}

void measure_tokens(std::size_t groups)
{
    state::session_token token;
    for (std::size_t i = 0; i < groups; ++i)
    {
        token = token.advanced("loans-" + std::to_string(i),
                               {term.next(12345), 1000000 + i});
    }
    protocol::token_codec const codec({std::string(32, 'k')});
    auto const bytes = codec.encode(token);
    std::printf("token of %zu groups: %zu bytes\n", groups, bytes.size());
    measure("encode",
            [&](std::uint64_t) { return codec.encode(token).size(); });
    measure("decode",
            [&](std::uint64_t) { return codec.decode(bytes).index(); });
}

} // namespace

int main()
{
    measure_reads();
    measure_writes();
    measure_connections();
    measure_tokens(1);
    measure_tokens(3);
}
