#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/load/checker/guarantee_violation.hpp>
#include <camphortide/load/checker/run_observations.hpp>

namespace camphortide::load
{

/// Distribution of a time, in milliseconds.
struct quantiles
{
    std::uint64_t m_count = 0;
    double m_p50 = 0;
    double m_p99 = 0;
    double m_p999 = 0;
    double m_max = 0;

    friend auto operator<=>(quantiles const&, quantiles const&) = default;
};

/// Counts and times of one customer's traffic class.
struct class_summary
{
    std::string m_customer;
    std::string m_class_name;
    std::uint64_t m_requests = 0;
    std::uint64_t m_executed = 0;
    std::uint64_t m_not_executed = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_rolled_back = 0; ///< at their callers' request
    std::uint64_t m_repeats = 0;     ///< attempts beyond the first
    std::uint64_t m_reads = 0;       ///< executed reads
    std::uint64_t m_from_replica = 0;
    std::uint64_t m_replica_allowed = 0; ///< reads that a replica may answer
    quantiles m_latency;                 ///< from the intended time of arrival
    quantiles m_age;                     ///< as stated by answers of replicas

    friend auto operator<=>(class_summary const&,
                            class_summary const&) = default;
};

/// The loss of a group's primary.
struct primary_loss
{
    std::string m_group;
    std::string m_member;
    run_time m_at{0};

    friend auto operator<=>(primary_loss const&, primary_loss const&) = default;
};

/// All counts and times of a run.
struct run_summary
{
    std::vector<class_summary> m_classes; ///< by customer and class
    class_summary m_all;                  ///< all classes together
    /// Attempts that were not executed or of unknown outcome, by reason, except
    /// those that their callers rolled back.
    std::map<state::reason, std::uint64_t> m_refusals;
    std::uint64_t m_planned_stops = 0;      ///< completed stops of instances
    std::vector<double> m_failover_gaps;    ///< ms, one for each loss
    std::uint64_t m_unrecovered_losses = 0; ///< losses without a later write by
                                            ///< another member
    std::vector<double> m_propagation_times; ///< ms, one for each catalogue
                                             ///< change
    /// Acknowledged writes in each second of the run.
    std::vector<std::uint64_t> m_writes_by_second;
};

/// Computes the summary of a run.
/// @param observed what was observed of the run
/// @param losses of primaries, by time
/// @param warm_up requests with an earlier intended time are excluded from the
///     counts by class and by reason
run_summary summarise(run_observations const& observed,
                      std::vector<primary_loss> const& losses,
                      run_time warm_up);

/// The time without acknowledged writes to a group after a loss.
/// @return milliseconds from the last acknowledgement by the lost member to the
///     first by another one; nothing if either is missing
std::optional<double> failover_gap(history const& attempts,
                                   primary_loss const& loss);

} // namespace camphortide::load
