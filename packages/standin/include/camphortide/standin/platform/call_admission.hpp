#pragma once

#include <cstddef>
#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::standin
{

/// Kinds of calls that the platform counts.
enum class platform_call
{
    get,
    list,
    put,
    erase,
    watch,
    instances
};

/// Number of calls that the platform served. A watch counts when it begins.
struct platform_counts
{
    std::uint64_t m_gets = 0;
    std::uint64_t m_lists = 0;
    std::uint64_t m_puts = 0;
    std::uint64_t m_erases = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_instance_lists = 0;
    std::uint64_t m_refused = 0; ///< by an outage or a rate; not counted above
    std::uint64_t m_open_watches = 0; ///< currently open

    friend auto operator<=>(platform_counts const&,
                            platform_counts const&) = default;
};

/// Maximum calls per second; 0 means unlimited.
struct platform_rates
{
    std::uint32_t m_reads = 0;
    std::uint32_t m_writes = 0;

    friend auto operator<=>(platform_rates const&,
                            platform_rates const&) = default;
};

/// Whether the platform serves a call, or why not.
enum class call_decision
{
    admitted,
    outage,
    rate_limited
};

/// Models the platform's outages and rate limits: counts each call and decides
/// whether it is served. Uses no clock, thread or network.
class call_admission
{
public:
    void set_outage(bool on) { m_outage = on; }
    void set_rates(platform_rates rates);

    /// Decides whether a call is served and counts it.
    call_decision admit(platform_call call, state::time_point now);

    void watch_closed() { --m_counts.m_open_watches; }

    bool outage() const { return m_outage; }
    platform_counts const& counts() const { return m_counts; }

private:
    /// A token bucket: one token per call, refilled continuously up to the
    /// tokens of one second.
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
