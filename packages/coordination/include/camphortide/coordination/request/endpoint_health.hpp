#pragma once

#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Limits of an endpoint's health.
struct health_limits
{
    double m_smoothing = 0.1;        ///< weight of a new answer in the means
    double m_eject_above = 0.5;      ///< share of failures
    double m_reduce_above = 0.05;    ///< share of failures
    std::uint32_t m_min_answers = 5; ///< before an ejection
    /// how many times slower than its peers an endpoint may be
    double m_slow_factor = 3.0;
    state::duration m_min_slow_latency{5}; ///< latencies below are never slow
    state::duration m_ejection_time{1000}; ///< doubles with each failed probe
    state::duration m_max_ejection_time{30000};
    std::uint32_t m_probes_to_restore = 3; ///< good answers in a row
};

/// How an answer of an endpoint counts.
enum class answer_quality
{
    good,
    failed ///< connection lost, timeout, or an answer that breaks the protocol
};

/// Follows an endpoint's failures and latency, and reduces its share of the
/// work by them. An ejected endpoint is probed with single requests, and gets
/// its work back in steps.
class endpoint_health
{
public:
    explicit endpoint_health(health_limits limits);

    /// Takes the end of a request to the endpoint. While it is ejected, only
    /// the answer to a probe can bring it back or keep it out for longer.
    /// @param latency from sending to the answer or the failure
    void note_answer(answer_quality quality, state::duration latency,
                     state::time_point now);

    /// Works out the endpoint's share. It falls as failures or the latency
    /// rise, and never rises with them.
    /// @param peer_latency mean latency of the group's other endpoints; zero
    ///     if not known
    /// @return 1: its usual work; 0: none
    double share(state::duration peer_latency) const;

    /// @return true if an ejected endpoint is due to be probed with a request
    bool probe_due(state::time_point now) const;

    /// Notes that a request was sent as a probe.
    void note_probe(state::time_point now);

    bool ejected() const { return m_ejected; }
    double failure_share() const { return m_failures; }
    /// @return the mean latency of good answers; zero if there was none
    state::duration latency() const;

private:
    void eject(state::time_point now);
    void note_while_ejected(answer_quality quality, state::time_point now);
    double failure_factor() const;
    double latency_factor(state::duration peer_latency) const;

    health_limits m_limits;
    double m_failures = 0;
    double m_latency = 0; ///< milliseconds
    std::uint32_t m_answers = 0;
    bool m_ejected = false;
    bool m_probing = false; ///< a probe's answer is awaited
    state::duration m_ejection_time;
    state::time_point m_next_probe;
    std::uint32_t m_good_probes = 0;
};

} // namespace camphortide::coordination
