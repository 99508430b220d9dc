#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <camphortide/coordination/limits/admission_entry.hpp>
#include <camphortide/coordination/limits/admission_types.hpp>
#include <camphortide/coordination/limits/entry_limits.hpp>
#include <camphortide/coordination/limits/slot_queue.hpp>

namespace camphortide::coordination
{

/// Admission control of one home of a group: decides which requests get a slot,
/// are queued or are refused. Slots are shared fairly among customers, then
/// among the entries of each customer. A request is refused at once if the work
/// queued ahead of it is expected to make it miss its deadline. A slot is never
/// left free while a request is eligible for it. Not thread-safe. submit(),
/// finished() and cancel() take time logarithmic in the numbers of entries and
/// of queued requests.
class admission
{
public:
    /// @param rule how priorities rank the classes
    explicit admission(priority_rule rule = priority_rule::weighted);

    /// Replaces the entries. Queued requests of a removed entry are refused;
    /// running ones continue.
    /// @param entries with the rate and concurrency limits of this home alone
    admission_changes set_entries(std::span<entry_limits const> entries,
                                  state::time_point now);

    /// Changes the number of slots of a slot class. Running requests keep
    /// theirs. While there are no slots, requests are queued for as long as
    /// their entry and deadline allow.
    admission_changes set_capacity(slot_class which, std::uint32_t slots,
                                   state::time_point now);

    /// Decides on a new request.
    /// @return refused with unknown_entry, rate_limit, concurrency_limit,
    ///     queue_full, deadline_exceeded or deadline_too_short
    admission_decision submit(admission_request const& request,
                              state::time_point now);

    /// Releases the slot of an admitted request. An unknown id is ignored.
    /// @param service how long the request held the slot; nothing if that must
    ///     not count towards the estimates, such as for a request that was
    ///     never sent
    admission_changes finished(std::uint64_t id, std::optional<work> service,
                               state::time_point now);

    /// Removes a queued request whose caller no longer waits for it.
    /// @return false if it is not queued
    bool cancel(std::uint64_t id, state::time_point now);

    /// Refuses the queued requests that can no longer finish in time.
    admission_changes tick(state::time_point now);

    /// @return when the next queued request expires, to set a timer
    std::optional<state::time_point> next_expiry() const;

    /// @return the current load of the entry; zeros for an unknown entry
    admission_load load(std::string_view entry) const;

private:
    using flow_id = slot_queue::flow_id;

    using entry = admission_entry;

    /// The flow and slot class of a running request.
    struct slot_holder
    {
        flow_id m_flow = 0;
        slot_class m_slot_class = slot_class::primary;
    };

    entry const* find(std::string_view name) const;
    entry& upsert(entry_limits const& limits, state::time_point now);
    void remove(entry const& removed, admission_changes& changes,
                state::time_point now);
    std::optional<admission_decision>
    check_limits(entry& target, admission_request const& request,
                 waiting_request const& item, state::time_point now);
    admission_decision deadline_refusal(entry const& target, slot_class which,
                                        waiting_request const& item,
                                        state::time_point now) const;
    admission_decision queue_refusal(entry const& target, slot_class which,
                                     std::uint64_t id) const;
    work expected_wait(entry const& target, slot_class which) const;
    state::duration retry_after(entry const& target, slot_class which,
                                std::uint64_t id) const;
    void refuse(slot_class which, slot_queue::removed_request const& item,
                state::reason reason_code, admission_changes& changes);
    void mark_started(entry& target, slot_class which, std::uint64_t id);
    void update_eligibility(entry const& target);
    void dispatch(slot_class which, admission_changes& changes,
                  state::time_point now);
    void refuse_expired(slot_class which, admission_changes& changes,
                        state::time_point now);
    void refuse_infeasible(slot_class which, admission_changes& changes,
                           state::time_point now);
    slot_queue& queue_of(slot_class which);
    slot_queue const& queue_of(slot_class which) const;

    priority_rule m_rule;
    std::map<std::string, flow_id, std::less<>> m_flow_by_name;
    std::vector<entry> m_entries; ///< indexed by flow
    std::array<slot_queue, slot_class_count> m_queues;
    std::unordered_map<std::uint64_t, slot_holder> m_running;
};

} // namespace camphortide::coordination
