#include <algorithm>
#include <cmath>

#include <camphortide/coordination/limits/allowance_keeper.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr double ms_per_second = 1000.0;
/// How long a new keeper is restricted: after that, instances that it doesn't
/// hear admit little on their own, and what its predecessor granted has left
/// the window.
constexpr state::duration restricted_time{6000};
/// A requester is silent after this time: instances near a limit report each
/// 500 ms.
constexpr state::duration silence{800};
/// Customers and requesters are forgotten after this time; of their rates less
/// than a tenth is left then.
constexpr state::duration retention{12000};
/// The sums over the requesters are renewed at this interval, so that a request
/// doesn't cost more with more instances.
constexpr state::duration sum_interval{100};
/// Bounds of the interval between requests while there are no tokens.
constexpr state::duration min_request_interval{50};
constexpr state::duration max_request_interval{250};
/// Interval between the announcements of a new keeper.
constexpr state::duration announcement_interval{500};
/// Bounds of the time after which callers retry.
constexpr state::duration min_retry{50};
constexpr state::duration max_retry{3000};
/// Part of the limit from which on requesters report their rates.
constexpr double report_threshold = 0.5;
/// Part of the limit that a new keeper grants above what was admitted before.
constexpr double growth_part = 0.1;
/// Parts of the rule's slack: one is granted steadily without regard to what
/// others may admit, the other at once by a new keeper or a backup.
constexpr double steady_slack_part = 0.5;
constexpr double initial_slack_part = 0.25;

double seconds(state::duration value)
{
    return static_cast<double>(value.count()) / ms_per_second;
}

state::duration milliseconds(double seconds, state::duration least,
                             state::duration most)
{
    double const value =
        std::clamp(seconds * ms_per_second, static_cast<double>(least.count()),
                   static_cast<double>(most.count()));
    return state::duration(std::llround(value));
}

} // namespace

allowance_keeper::allowance_keeper(state::allowance_rule settings,
                                   state::time_point started)
    : m_settings(settings),
      m_settled_at(started + restricted_time)
{
}

void allowance_keeper::instances_changed(bool lost, double young_share,
                                         state::time_point now)
{
    if (lost)
    {
        m_settled_at = std::max(m_settled_at, now + restricted_time);
    }
    // Instances register one after the other after a common restart.
    m_young_share =
        now < m_settled_at ? std::max(m_young_share, young_share) : young_share;
}

double allowance_keeper::max_unaccounted_rate() const
{
    return m_settings.m_slack * steady_slack_part /
           seconds(m_settings.m_window);
}

double allowance_keeper::first_tokens(double capacity) const
{
    return std::min(capacity, m_settings.m_slack * initial_slack_part);
}

allowance_keeper::bucket&
allowance_keeper::find_bucket(std::string const& customer,
                              state::operation_limit const& limit,
                              bool is_keeper, state::time_point now)
{
    auto const [it, is_new] = m_buckets.try_emplace(customer);
    auto& value = it->second;
    if (is_new)
    {
        value.m_is_keeper = is_keeper;
        value.m_restricted_until = m_settled_at;
        value.m_refilled_at = value.m_summed_at = now;
        auto const capacity = allowance_capacity(limit, m_settings);
        bool const restricted = !is_keeper || now < m_settled_at;
        value.m_tokens = restricted ? first_tokens(capacity) : capacity;
    }
    value.m_limit = limit;
    return value;
}

void allowance_keeper::change_role(bucket& value, bool is_keeper,
                                   state::time_point now)
{
    if (value.m_is_keeper == is_keeper)
    {
        return;
    }
    value.m_is_keeper = is_keeper;
    if (is_keeper)
    {
        value.m_restricted_until = now + restricted_time;
    }
    else
    {
        value.m_tokens = std::min(value.m_tokens, first_tokens(value.m_tokens));
    }
}

void allowance_keeper::sum_requesters(bucket& value, state::time_point now)
{
    value.m_summed_at = now;
    value.m_reserved_rate = value.m_claimed_rate = 0;
    std::erase_if(value.m_requesters, [&](auto const& entry)
                  { return now - entry.second.m_heard_at > retention; });
    for (auto const& [name, requester] : value.m_requesters)
    {
        auto const age = now - requester.m_heard_at;
        if (age > silence)
        {
            value.m_reserved_rate +=
                requester.m_rate * decay(age, allowance_rate_time);
        }
        value.m_claimed_rate += requester.m_claim;
    }
}

double allowance_keeper::refill_rate(bucket const& value,
                                     state::time_point now) const
{
    double const limit = value.m_limit.m_rate_per_second;
    double const unaccounted = max_unaccounted_rate();
    if (!value.m_is_keeper)
    {
        return std::min(limit, unaccounted);
    }
    if (now < value.m_restricted_until)
    {
        return std::min(limit, unaccounted + value.m_claimed_rate +
                                   limit * (growth_part + m_young_share));
    }
    return limit - std::max(0.0, value.m_reserved_rate - unaccounted);
}

void allowance_keeper::refill(bucket& value, state::time_point now)
{
    double const added =
        refill_rate(value, now) * seconds(now - value.m_refilled_at);
    value.m_tokens = std::clamp(value.m_tokens + added, 0.0,
                                allowance_capacity(value.m_limit, m_settings));
    value.m_refilled_at = now;
}

allowance_grant allowance_keeper::handle(std::string const& requester,
                                         allowance_request const& request,
                                         state::operation_limit const& limit,
                                         bool is_keeper, state::time_point now)
{
    auto& value = find_bucket(request.m_customer, limit, is_keeper, now);
    change_role(value, is_keeper && now >= value.m_replaced_until, now);
    refill(value, now);
    auto& state = value.m_requesters[requester];
    state = {request.m_rate, request.m_claim, now};
    if (now - value.m_summed_at >= sum_interval ||
        value.m_requesters.size() == 1)
    {
        sum_requesters(value, now);
    }
    value.m_requested_at = now;
    double const returned =
        request.m_returned + (value.m_is_keeper ? 0 : request.m_credit);
    value.m_tokens = std::min(value.m_tokens + returned,
                              allowance_capacity(limit, m_settings));

    allowance_grant grant;
    grant.m_granted = static_cast<std::uint32_t>(std::min(
        static_cast<double>(request.m_wanted), std::floor(value.m_tokens)));
    value.m_tokens -= grant.m_granted;
    auto const refused = request.m_wanted - grant.m_granted;
    value.m_granted.add(grant.m_granted, now);
    value.m_refused.add(refused, now);
    if (refused > 0)
    {
        double const rate = std::max(refill_rate(value, now), 1e-3);
        grant.m_request_again =
            milliseconds(1 / rate, min_request_interval, max_request_interval);
        // Those that were refused within the last second return one after the
        // other, as fast as tokens come.
        grant.m_retry_after = milliseconds(
            (1 + value.m_refused.per_second(now)) / rate, min_retry, max_retry);
    }
    grant.m_report = value.m_granted.per_second(now) + value.m_reserved_rate >=
                     report_threshold * limit.m_rate_per_second;
    return grant;
}

bool allowance_keeper::must_announce(std::string_view customer,
                                     state::time_point now)
{
    auto const it = m_buckets.find(customer);
    if (it == m_buckets.end() || !it->second.m_is_keeper ||
        now >= it->second.m_restricted_until ||
        now - it->second.m_announced_at < announcement_interval)
    {
        return false;
    }
    it->second.m_announced_at = now;
    return true;
}

void allowance_keeper::note_announcement(std::string const& customer,
                                         state::time_point now)
{
    // Without tokens of the customer there is nothing to stop.
    auto const it = m_buckets.find(customer);
    if (it != m_buckets.end())
    {
        it->second.m_replaced_until = now + restricted_time;
        change_role(it->second, false, now);
    }
}

void allowance_keeper::sweep(state::time_point now)
{
    std::erase_if(m_buckets, [now](auto const& entry)
                  { return now - entry.second.m_requested_at > retention; });
}

} // namespace camphortide::coordination
