#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include <camphortide/load/report/run_summary.hpp>

namespace camphortide::load
{

namespace
{

constexpr double us_per_ms = 1000.0;

double in_ms(run_time value)
{
    return static_cast<double>(value.count()) / us_per_ms;
}

/// Samples of one customer's traffic class.
struct samples
{
    class_summary m_summary;
    std::vector<double> m_latencies;
    std::vector<double> m_ages;
};

double percentile(std::vector<double> const& sorted, double share)
{
    auto const place = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(place, 1, sorted.size()) - 1];
}

quantiles quantiles_of(std::vector<double> values)
{
    if (values.empty())
    {
        return {};
    }
    std::ranges::sort(values);
    return {values.size(), percentile(values, 0.5), percentile(values, 0.99),
            percentile(values, 0.999), values.back()};
}

void count_outcome(request_record const& attempt, class_summary& to)
{
    ++to.m_requests;
    if (is_rolled_back(attempt))
    {
        ++to.m_rolled_back;
        return;
    }
    switch (attempt.m_outcome)
    {
    case state::outcome::executed:
        ++to.m_executed;
        break;
    case state::outcome::not_executed:
        ++to.m_not_executed;
        break;
    case state::outcome::unknown:
        ++to.m_unknown;
        break;
    }
}

void add(request_record const& attempt, samples& to)
{
    if (!attempt.m_final)
    {
        ++to.m_summary.m_repeats;
        return;
    }
    count_outcome(attempt, to.m_summary);
    if (attempt.m_outcome != state::outcome::executed)
    {
        return;
    }
    to.m_latencies.push_back(
        in_ms(attempt.m_answered - attempt.m_request.m_intended));
    if (attempt.m_request.m_kind != transport::traffic_kind::read)
    {
        return;
    }
    ++to.m_summary.m_reads;
    to.m_summary.m_from_replica += attempt.m_from_replica ? 1U : 0U;
    bool const replica_allowed =
        attempt.m_request.m_max_age || attempt.m_token_named_group;
    to.m_summary.m_replica_allowed += replica_allowed ? 1U : 0U;
    if (attempt.m_from_replica && attempt.m_request.m_max_age)
    {
        to.m_ages.push_back(static_cast<double>(attempt.m_age.count()));
    }
}

class_summary finished(samples from)
{
    from.m_summary.m_latency = quantiles_of(std::move(from.m_latencies));
    from.m_summary.m_age = quantiles_of(std::move(from.m_ages));
    return from.m_summary;
}

bool is_acknowledged_write(request_record const& attempt)
{
    return attempt.m_outcome == state::outcome::executed &&
           attempt.m_request.m_kind != transport::traffic_kind::read;
}

std::vector<std::uint64_t> writes_by_second(history const& attempts,
                                            run_time end)
{
    constexpr std::int64_t us_per_s = 1'000'000;
    std::vector<std::uint64_t> result(
        static_cast<std::size_t>(end.count() / us_per_s) + 1);
    for (auto const& attempt : attempts)
    {
        auto const second =
            static_cast<std::size_t>(attempt.m_answered.count() / us_per_s);
        if (is_acknowledged_write(attempt) && second < result.size())
        {
            ++result[second];
        }
    }
    return result;
}

/// @return the time, in ms, until the last instance used a change; nothing if
///     an instance that ran from the change to the end never used it
std::optional<double> propagation_time(run_observations const& observed,
                                       accepted_change const& change)
{
    run_time last = change.m_accepted;
    for (auto const& lifetime : observed.m_lifetimes)
    {
        if (lifetime.m_from > change.m_accepted || lifetime.m_until)
        {
            continue;
        }
        auto const seen = std::ranges::find_if(
            observed.m_adoptions,
            [&](catalogue_adoption const& adoption)
            {
                return adoption.m_instance == lifetime.m_instance &&
                       adoption.m_version >= change.m_version;
            });
        if (seen == observed.m_adoptions.end())
        {
            return std::nullopt;
        }
        last = std::max(last, seen->m_at);
    }
    return in_ms(last - change.m_accepted);
}

} // namespace

std::optional<double> failover_gap(history const& attempts,
                                   primary_loss const& loss)
{
    std::optional<run_time> last;
    std::optional<run_time> first;
    for (auto const& attempt : attempts)
    {
        if (!is_acknowledged_write(attempt) || attempt.m_member.empty() ||
            attempt.m_request.m_group != loss.m_group)
        {
            continue;
        }
        if (attempt.m_member != loss.m_member && attempt.m_answered > loss.m_at)
        {
            first = std::min(first.value_or(attempt.m_answered),
                             attempt.m_answered);
        }
    }
    for (auto const& attempt : attempts)
    {
        bool const by_lost = is_acknowledged_write(attempt) &&
                             attempt.m_member == loss.m_member &&
                             attempt.m_request.m_group == loss.m_group;
        if (first && by_lost && attempt.m_answered < *first)
        {
            last = std::max(last.value_or(run_time{0}), attempt.m_answered);
        }
    }
    return first && last ? std::optional(in_ms(*first - *last)) : std::nullopt;
}

run_summary summarise(run_observations const& observed,
                      std::vector<primary_loss> const& losses, run_time warm_up)
{
    run_summary result;
    std::map<std::pair<std::string, std::string>, samples> classes;
    samples all;
    for (auto const& attempt : observed.m_history)
    {
        auto const& request = attempt.m_request;
        if (request.m_intended < warm_up)
        {
            continue;
        }
        auto& one = classes[{request.m_customer, request.m_class_name}];
        one.m_summary.m_customer = request.m_customer;
        one.m_summary.m_class_name = request.m_class_name;
        add(attempt, one);
        add(attempt, all);
        bool const refused = attempt.m_outcome != state::outcome::executed &&
                             !is_rolled_back(attempt);
        if (refused)
        {
            ++result.m_refusals[attempt.m_reason];
        }
    }
    for (auto& [name, one] : classes)
    {
        result.m_classes.push_back(finished(std::move(one)));
    }
    result.m_planned_stops = observed.m_drains.size();
    result.m_all = finished(std::move(all));
    for (auto const& loss : losses)
    {
        auto const gap = failover_gap(observed.m_history, loss);
        gap ? result.m_failover_gaps.push_back(*gap)
            : static_cast<void>(++result.m_unrecovered_losses);
    }
    for (auto const& change : observed.m_changes)
    {
        if (auto const time = propagation_time(observed, change))
        {
            result.m_propagation_times.push_back(*time);
        }
    }
    result.m_writes_by_second =
        writes_by_second(observed.m_history, observed.m_end);
    return result;
}

} // namespace camphortide::load
