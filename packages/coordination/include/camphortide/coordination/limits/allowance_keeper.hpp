#pragma once

#include <map>
#include <string>
#include <string_view>

#include <camphortide/coordination/limits/allowance.hpp>
#include <camphortide/coordination/limits/decayed_rate.hpp>

namespace camphortide::coordination
{

/// Grants tokens for operations of customers to the instances. Each customer
/// has one keeper, the first instance of an order that all instances derive
/// from the customer's name; the next ones are its backups.
///
/// Instances that no keeper answers go on at a decaying rate, so a keeper must
/// not grant what they may be admitting:
/// - It reserves the decayed rate of each instance that has been silent for
///   longer than a second.
/// - One that has just become the keeper knows neither these instances nor what
///   its predecessor has granted. For a while it grants no more than what its
///   requesters admitted before, and what processes that have just started may
///   use, which have admitted nothing.
/// - A backup grants what its requesters may admit on their own and give up to
///   it. Many instances with less than one token each get some of them so.
class allowance_keeper
{
public:
    /// @param settings the rule
    /// @param started when this process started
    allowance_keeper(state::allowance_rule settings, state::time_point started);

    /// Records that the registered instances changed.
    /// @param lost an instance left or was replaced
    /// @param young_share part of the instances whose process has just started
    void instances_changed(bool lost, double young_share,
                           state::time_point now);

    /// Answers a request.
    /// @param requester name of the instance
    /// @param limit of the customer
    /// @param is_keeper this instance is the first in the customer's order, by
    ///     records that are up to date
    allowance_grant handle(std::string const& requester,
                           allowance_request const& request,
                           state::operation_limit const& limit, bool is_keeper,
                           state::time_point now);

    /// @return true if the backups must be told now that this instance is the
    ///     customer's keeper. They may not know it yet, and grant tokens as if
    ///     it were gone.
    bool must_announce(std::string_view customer, state::time_point now);

    /// Records that an instance before this one in the customer's order
    /// announced that it is the keeper.
    void note_announcement(std::string const& customer, state::time_point now);

    /// Drops customers that were not requested for a while.
    void sweep(state::time_point now);

    /// @return number of customers that this instance keeps tokens of
    std::size_t customers() const { return m_buckets.size(); }

private:
    struct requester_state
    {
        double m_rate = 0;
        double m_claim = 0;
        state::time_point m_heard_at;
    };

    struct bucket
    {
        state::operation_limit m_limit;
        double m_tokens = 0;
        state::time_point m_refilled_at;
        state::time_point m_requested_at;
        bool m_is_keeper = false;
        state::time_point m_restricted_until;
        state::time_point m_announced_at;
        state::time_point m_replaced_until; ///< another one is the keeper
        std::map<std::string, requester_state, std::less<>> m_requesters;
        double m_reserved_rate = 0; ///< for silent requesters, per second
        double m_claimed_rate = 0;  ///< sum of all claims
        state::time_point m_summed_at;
        decayed_rate m_granted{allowance_rate_time};
        decayed_rate m_refused{state::duration(1000)};
    };

    bucket& find_bucket(std::string const& customer,
                        state::operation_limit const& limit, bool is_keeper,
                        state::time_point now);
    void change_role(bucket& value, bool is_keeper, state::time_point now);
    void refill(bucket& value, state::time_point now);
    double refill_rate(bucket const& value, state::time_point now) const;
    static void sum_requesters(bucket& value, state::time_point now);
    double max_unaccounted_rate() const;
    double first_tokens(double capacity) const;

    state::allowance_rule m_settings;
    /// What was granted before by others no longer counts from then on.
    state::time_point m_settled_at;
    double m_young_share = 0;
    std::map<std::string, bucket, std::less<>> m_buckets; ///< by customer
};

} // namespace camphortide::coordination
