#pragma once

#include <cstddef>
#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::standin
{

/// The kinds of calls that the platform counts.
enum class platform_call
{
    get,
    list,
    put,
    erase,
    watch,
    instances
};

/// How many calls the platform has had. A watch counts when it begins.
struct platform_counts
{
    std::uint64_t m_gets = 0;
    std::uint64_t m_lists = 0;
    std::uint64_t m_puts = 0;
    std::uint64_t m_erases = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_instance_lists = 0;
    std::uint64_t m_refused = 0;      ///< by outage or rate; in none above
    std::uint64_t m_open_watches = 0; ///< now

    friend auto operator<=>(platform_counts const&,
                            platform_counts const&) = default;
};

/// The most calls a second; 0 is without limit.
struct platform_rates
{
    std::uint32_t m_reads = 0;
    std::uint32_t m_writes = 0;

    friend auto operator<=>(platform_rates const&,
                            platform_rates const&) = default;
};

/// What the platform does with a call.
enum class call_decision
{
    admitted,
    outage,
    rate_limited
};

/// The pure model of the platform's faults and rates: counts each call and
/// says whether it is served.
class call_admission
{
public:
    void set_outage(bool on) { m_outage = on; }
    void set_rates(platform_rates rates);

    /// Decides on a call and counts it.
    call_decision admit(platform_call call, state::time_point now);

    void watch_closed() { --m_counts.m_open_watches; }

    bool outage() const { return m_outage; }
    platform_counts const& counts() const { return m_counts; }

private:
    /// Calls that may run now; refilled by time, up to a second's worth.
    struct token_bucket
    {
        std::uint32_t m_rate = 0;
        std::int64_t m_millitokens = 0;
        state::time_point m_refilled_at{};

        bool try_take(state::time_point now);
    };

    void count(platform_call call);

    bool m_outage = false;
    token_bucket m_reads;
    token_bucket m_writes;
    platform_counts m_counts;
};

} // namespace camphortide::standin
