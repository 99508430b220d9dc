#pragma once

#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Limits by which an endpoint is given less work or is ejected.
struct health_limits
{
    double m_smoothing = 0.1;   ///< weight of a new answer in the moving means
    double m_eject_above = 0.5; ///< failure ratio above which it is ejected
    /// Failure ratio above which its share falls.
    double m_reduce_above = 0.05;
    std::uint32_t m_min_answers = 5; ///< answers required before an ejection
    /// Latency, as a multiple of the mean of its peers, above which the share
    /// falls.
    double m_slow_factor = 3.0;
    /// Latencies up to this never reduce the share.
    state::duration m_min_slow_latency{5};
    state::duration m_ejection_time{1000}; ///< doubles with each failed probe
    state::duration m_max_ejection_time{30000};
    std::uint32_t m_probes_to_restore = 3; ///< consecutive successful probes
};

/// How the outcome of a request to an endpoint is counted.
enum class answer_quality
{
    good,
    failed ///< connection lost, timeout or protocol violation
};

/// Tracks an endpoint's failure ratio and latency and reduces its share of the
/// work accordingly. An ejected endpoint is probed with single requests; after
/// its return its share grows in steps.
class endpoint_health
{
public:
    explicit endpoint_health(health_limits limits);

    /// Records the end of a request to the endpoint. While the endpoint is
    /// ejected, only the answer to a probe can restore it or prolong the
    /// ejection.
    /// @param quality whether the request succeeded
    /// @param latency from sending to the answer or the failure
    /// @param now when the request ended
    void note_answer(answer_quality quality, state::duration latency,
                     state::time_point now);

    /// Computes the endpoint's share of the work. It decreases monotonically
    /// with the failure ratio and with the latency.
    /// @param peer_latency mean latency of the group's other endpoints; zero if
    ///     unknown
    /// @return 1: its usual work; 0: none
    double share(state::duration peer_latency) const;

    /// @return true if a request should be sent to the ejected endpoint as a
    ///     probe
    bool probe_due(state::time_point now) const;

    /// Records that a request was sent as a probe.
    void note_probe(state::time_point now);

    bool ejected() const { return m_ejected; }
    double failure_share() const { return m_failures; }
    /// @return the mean latency of successful requests; zero if there was none
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
    bool m_probing = false; ///< a probe's answer is outstanding
    state::duration m_ejection_time;
    state::time_point m_next_probe;
    std::uint32_t m_good_probes = 0;
};

} // namespace camphortide::coordination
