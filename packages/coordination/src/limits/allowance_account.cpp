#include <algorithm>
#include <cmath>
#include <utility>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/coordination/limits/allowance_account.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr double ms_per_second = 1000.0;
/// Above this rate tokens are requested ahead for the time of a lease. Below
/// it, most of them would lapse unused.
constexpr double ahead_rate = 2;
/// Interval of the reports near a limit, and of requests while nobody answers.
constexpr state::duration report_interval{500};
/// Rates below this are not worth a report, in operations per second.
constexpr double min_reported_rate = 0.02;
/// A claim is void after this time without the keeper.
constexpr state::duration claim_time{12000};
/// Wait of callers that are refused because nobody answers.
constexpr state::duration unanswered_retry{500};
/// How far back credit is counted when a keeper is found not to answer.
constexpr state::duration max_past_credit{1000};
/// Idle customers are forgotten after this time.
constexpr state::duration idle_time{10000};

double seconds(state::duration value)
{
    return static_cast<double>(value.count()) / ms_per_second;
}

} // namespace

allowance_account::entry& allowance_account::find(std::string const& customer,
                                                  state::time_point now)
{
    auto const [it, is_new] = m_entries.try_emplace(customer);
    auto& value = it->second;
    if (is_new)
    {
        // A random part of an operation, so that many instances with small
        // rates admit as much alone as these rates add up to.
        constexpr std::uint64_t steps = 1024;
        auto const score =
            rendezvous_score(hash_name(customer), hash_name(m_self));
        value.m_credit = static_cast<double>(score % steps) / steps;
        value.m_agreed_at = now - claim_time;
    }
    value.m_used_at = now;
    return value;
}

double allowance_account::decaying_rate(entry const& value,
                                        state::time_point now)
{
    return value.m_agreed_rate *
           decay(now - value.m_agreed_at, allowance_rate_time);
}

void allowance_account::accrue_credit(entry& value, state::time_point now)
{
    value.m_credit +=
        decaying_rate(value, now) * seconds(now - value.m_credit_at);
    value.m_credit_at = now;
}

allowance_decision allowance_account::take_alone(entry& value,
                                                 state::time_point now)
{
    accrue_credit(value, now);
    if (value.m_credit < 1)
    {
        return {allowance_result::refused, unanswered_retry};
    }
    value.m_credit -= 1;
    value.m_admitted.add(1, now);
    return {};
}

allowance_decision allowance_account::take(std::string const& customer,
                                           state::time_point now)
{
    auto& value = find(customer, now);
    if (value.m_tokens > 0 && now < value.m_tokens_until)
    {
        --value.m_tokens;
        value.m_admitted.add(1, now);
        return {};
    }
    if (value.m_alone)
    {
        return take_alone(value, now);
    }
    if (now < value.m_empty_until)
    {
        return {allowance_result::refused, value.m_retry_after};
    }
    return {allowance_result::waiting, {}};
}

std::uint32_t allowance_account::tokens_ahead(entry const& value,
                                              state::time_point now)
{
    double const rate = value.m_admitted.per_second(now);
    return rate > ahead_rate ? static_cast<std::uint32_t>(
                                   std::ceil(rate * seconds(allowance_lease)))
                             : 0;
}

std::optional<allowance_request>
allowance_account::request(std::string const& customer, std::size_t waiting,
                           state::time_point now)
{
    auto const it = m_entries.find(customer);
    if (it == m_entries.end() || it->second.m_requested)
    {
        return std::nullopt;
    }
    auto& value = it->second;
    bool const paused = value.m_alone
                            ? now - value.m_requested_at < report_interval
                            : now < value.m_empty_until;
    if (paused)
    {
        return std::nullopt;
    }
    auto const valid = now < value.m_tokens_until ? value.m_tokens : 0;
    auto const ahead = tokens_ahead(value, now);
    bool const runs_low = valid * 2 < ahead;
    bool const must_report =
        (value.m_reports || value.m_alone) &&
        now - value.m_requested_at >= report_interval &&
        value.m_admitted.per_second(now) >= min_reported_rate;
    if (waiting == 0 && !runs_low && !must_report)
    {
        return std::nullopt;
    }
    allowance_request request;
    request.m_customer = customer;
    request.m_wanted =
        static_cast<std::uint32_t>(waiting) + (runs_low ? ahead : valid);
    request.m_returned = valid;
    double const admitted = value.m_admitted.per_second(now);
    request.m_rate = request.m_claim = admitted;
    if (value.m_out_of_touch)
    {
        request.m_rate = decaying_rate(value, now);
        bool const valid_claim = now - value.m_agreed_at < claim_time;
        request.m_claim = valid_claim ? value.m_agreed_rate : 0;
        accrue_credit(value, now);
        request.m_credit = std::exchange(value.m_credit, 0);
    }
    value.m_tokens = 0;
    value.m_requested = true;
    value.m_requested_at = now;
    value.m_wanted = request.m_wanted;
    value.m_sent_rate = request.m_rate;
    return request;
}

void allowance_account::answered(std::string const& customer,
                                 allowance_grant const& grant,
                                 state::time_point sent, bool by_keeper,
                                 state::time_point now)
{
    auto& value = find(customer, now);
    value.m_requested = false;
    value.m_alone = false;
    value.m_out_of_touch = !by_keeper;
    value.m_tokens = std::min(grant.m_granted, value.m_wanted);
    value.m_tokens_until = sent + allowance_lease;
    value.m_reports = grant.m_report;
    if (grant.m_granted < value.m_wanted)
    {
        value.m_empty_until = now + grant.m_request_again;
        value.m_retry_after = grant.m_retry_after;
    }
    if (by_keeper)
    {
        value.m_agreed_rate = value.m_sent_rate;
        value.m_agreed_at = sent;
    }
}

allowance_request
allowance_account::keeper_unanswered(allowance_request request,
                                     state::time_point now)
{
    auto& value = find(request.m_customer, now);
    if (!std::exchange(value.m_out_of_touch, true))
    {
        // The keeper reserves for this instance since its last answer.
        value.m_credit_at = std::max(value.m_agreed_at, now - max_past_credit);
        request.m_rate = decaying_rate(value, now);
        request.m_claim = value.m_agreed_rate;
    }
    accrue_credit(value, now);
    request.m_credit += std::exchange(value.m_credit, 0);
    return request;
}

void allowance_account::unanswered(allowance_request const& request,
                                   state::time_point now)
{
    auto& value = find(request.m_customer, now);
    value.m_requested = false;
    value.m_alone = true;
    value.m_credit += request.m_credit;
}

std::vector<std::string> allowance_account::active_customers() const
{
    std::vector<std::string> names;
    names.reserve(m_entries.size());
    for (auto const& item : m_entries)
    {
        names.push_back(item.first);
    }
    return names;
}

void allowance_account::sweep(state::time_point now)
{
    std::erase_if(m_entries,
                  [now](auto const& item)
                  {
                      return !item.second.m_requested &&
                             now - item.second.m_used_at > idle_time;
                  });
}

} // namespace camphortide::coordination
