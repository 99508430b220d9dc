#include <algorithm>
#include <set>
#include <utility>

#include <camphortide/coordination/limits/holder_monitor.hpp>

namespace camphortide::coordination
{

namespace
{

/// Refuting suspicions raises an incarnation by less than this, and a restart
/// of the process by more.
constexpr std::uint64_t process_incarnation_step = 1000;
/// An instance is gone after it was missing from a complete view for this long.
constexpr state::duration absence_timeout{10000};

std::set<holder_id> holders_of(share_ledger const& ledger)
{
    std::set<holder_id> holders;
    for (auto const& limit : ledger.m_limits)
    {
        for (auto const& share : limit.m_shares)
        {
            holders.insert(share.m_holder);
        }
    }
    return holders;
}

bool has_successor(holder_id const& holder, share_ledger const& ledger)
{
    auto const all = holders_of(ledger);
    return std::any_of(all.begin(), all.end(),
                       [&holder](holder_id const& other)
                       {
                           return other.m_instance == holder.m_instance &&
                                  other.m_incarnation > holder.m_incarnation;
                       });
}

} // namespace

holder_monitor::holder_monitor(holder_id self, state::duration max_leave_time)
    : m_self(std::move(self)),
      m_max_leave_time(max_leave_time)
{
}

void holder_monitor::set_view(std::vector<state::instance_record> const& view,
                              state::time_point now)
{
    std::map<std::string, observed_record, std::less<>> observed;
    for (auto const& record : view)
    {
        auto const previous = m_observed.find(record.m_name);
        bool const unchanged =
            previous != m_observed.end() &&
            previous->second.m_state == record.m_state &&
            previous->second.m_incarnation == record.m_incarnation;
        observed[record.m_name] = {record.m_incarnation, record.m_state,
                                   unchanged ? previous->second.m_since : now};
    }
    m_observed = std::move(observed);
    std::erase_if(m_absent_since, [this](auto const& item)
                  { return m_observed.contains(item.first); });
}

void holder_monitor::set_complete(bool complete)
{
    m_complete = complete;
    if (!complete)
    {
        m_absent_since.clear();
    }
}

std::vector<holder_id> holder_monitor::gone(share_ledger const& ledger,
                                            state::time_point now)
{
    std::vector<holder_id> result;
    for (auto const& holder : holders_of(ledger))
    {
        if (is_gone(holder, ledger, now))
        {
            result.push_back(holder);
        }
    }
    return result;
}

bool holder_monitor::is_gone(holder_id const& holder,
                             share_ledger const& ledger, state::time_point now)
{
    if (holder.m_instance == m_self.m_instance)
    {
        return holder.m_incarnation < m_self.m_incarnation ||
               has_successor(holder, ledger);
    }
    if (has_successor(holder, ledger))
    {
        return true;
    }
    auto const found = m_observed.find(holder.m_instance);
    if (found == m_observed.end())
    {
        return is_absent(holder.m_instance, now);
    }
    auto const& record = found->second;
    if (record.m_incarnation >= holder.m_incarnation + process_incarnation_step)
    {
        return true;
    }
    bool const same_process =
        holder.m_incarnation < record.m_incarnation + process_incarnation_step;
    bool const ended = record.m_state == state::instance_state::gone ||
                       (record.m_state == state::instance_state::leaving &&
                        now - record.m_since >= m_max_leave_time);
    return same_process && ended;
}

bool holder_monitor::is_absent(std::string const& instance,
                               state::time_point now)
{
    if (!m_complete)
    {
        return false;
    }
    auto const since = m_absent_since.try_emplace(instance, now).first->second;
    return now - since >= absence_timeout;
}

} // namespace camphortide::coordination
