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

/// Decides at one home of a group which requests get a slot, wait or are
/// refused. Slots go round fairly among owners, then among an owner's entries.
/// A request that can't finish by its deadline, judged by the work ahead of it,
/// is refused at once. A slot is never left free while a request may have it.
/// Not thread-safe. arrive(), finished() and cancel() take a time that is
/// logarithmic in the numbers of entries and of waiting requests.
class admission
{
public:
    /// @param rule how the operators rank the classes
    explicit admission(priority_rule rule = priority_rule::weighted);

    /// Replaces the entries. Queued requests of an entry that is gone are
    /// refused; those that run go on.
    /// @param entries with the rate and concurrency of this home alone
    admission_changes set_entries(std::span<entry_limits const> entries,
                                  state::time_point now);

    /// Changes the number of slots of a lane. Requests that run keep theirs.
    /// With no slots requests wait, for as long as their entry and deadline
    /// allow.
    admission_changes set_capacity(lane which, std::uint32_t slots,
                                   state::time_point now);

    /// Decides on a new request.
    /// @return refused with unknown_entry, rate_limit, concurrency_limit,
    ///     queue_full, deadline_exceeded or deadline_too_short
    admission_decision arrive(admission_request const& request,
                              state::time_point now);

    /// Takes back the slot of an admitted request. Ignores an unknown one.
    /// @param service how long it kept the slot; nothing if that says nothing
    ///     of the entry, as of a request that was never sent
    admission_changes finished(std::uint64_t id, std::optional<work> service,
                               state::time_point now);

    /// Forgets a queued request that nobody waits for.
    /// @return false if it isn't queued
    bool cancel(std::uint64_t id, state::time_point now);

    /// Refuses the queued requests that can't finish in time any more.
    admission_changes tick(state::time_point now);

    /// @return when the next queued request expires, for a timer
    std::optional<state::time_point> next_expiry() const;

    /// @return the entry's figures; zeros for an unknown entry
    admission_load load(std::string_view entry) const;

private:
    using flow_id = slot_queue::flow_id;

    using entry = admission_entry;

    /// Where a request that runs has its slot.
    struct holder
    {
        flow_id m_flow = 0;
        lane m_lane = lane::primary;
    };

    entry const* find(std::string_view name) const;
    entry& upsert(entry_limits const& limits, state::time_point now);
    void remove(entry const& gone, admission_changes& changes,
                state::time_point now);
    std::optional<admission_decision> refusal(entry& asked,
                                              admission_request const& request,
                                              waiting_request const& item,
                                              state::time_point now);
    admission_decision too_late(entry const& asked, lane which,
                                waiting_request const& item,
                                state::time_point now) const;
    admission_decision over_queue(entry const& asked, lane which,
                                  std::uint64_t id) const;
    work expected_wait(entry const& asked, lane which) const;
    state::duration retry_after(entry const& asked, lane which,
                                std::uint64_t id) const;
    void refuse(lane which, slot_queue::taken const& item, state::reason why,
                admission_changes& changes);
    void started(entry& asked, lane which, std::uint64_t id);
    void open_or_close(entry const& asked);
    void dispatch(lane which, admission_changes& changes,
                  state::time_point now);
    void expire(lane which, admission_changes& changes, state::time_point now);
    void give_up(lane which, admission_changes& changes, state::time_point now);
    slot_queue& in(lane which);
    slot_queue const& in(lane which) const;

    priority_rule m_rule;
    std::map<std::string, flow_id, std::less<>> m_names;
    std::vector<entry> m_entries; ///< by flow
    std::array<slot_queue, lane_count> m_lanes;
    std::unordered_map<std::uint64_t, holder> m_running;
};

} // namespace camphortide::coordination
