#include <algorithm>
#include <set>
#include <utility>

#include <camphortide/coordination/limits/holder_watch.hpp>

namespace camphortide::coordination
{

namespace
{

/// Objections raise an incarnation by less than this, a new process by more.
constexpr std::uint64_t life_step = 1000;
/// How long a complete view has to lack an instance that is gone.
constexpr state::duration absence{10000};

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

holder_watch::holder_watch(holder_id self, state::duration leave_time)
    : m_self(std::move(self)),
      m_leave_time(leave_time)
{
}

void holder_watch::set_view(std::vector<state::instance_record> const& view,
                            state::time_point now)
{
    std::map<std::string, known_record, std::less<>> known;
    for (auto const& record : view)
    {
        auto const old = m_known.find(record.m_name);
        bool const same = old != m_known.end() &&
                          old->second.m_state == record.m_state &&
                          old->second.m_incarnation == record.m_incarnation;
        known[record.m_name] = {record.m_incarnation, record.m_state,
                                same ? old->second.m_since : now};
    }
    m_known = std::move(known);
    std::erase_if(m_absent, [this](auto const& item)
                  { return m_known.contains(item.first); });
}

void holder_watch::set_complete(bool complete)
{
    m_complete = complete;
    if (!complete)
    {
        m_absent.clear();
    }
}

std::vector<holder_id> holder_watch::gone(share_ledger const& ledger,
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

bool holder_watch::is_gone(holder_id const& holder, share_ledger const& ledger,
                           state::time_point now)
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
    auto const found = m_known.find(holder.m_instance);
    if (found == m_known.end())
    {
        return is_absent(holder.m_instance, now);
    }
    auto const& record = found->second;
    if (record.m_incarnation >= holder.m_incarnation + life_step)
    {
        return true;
    }
    bool const same_life =
        holder.m_incarnation < record.m_incarnation + life_step;
    bool const ended = record.m_state == state::instance_state::gone ||
                       (record.m_state == state::instance_state::leaving &&
                        now - record.m_since >= m_leave_time);
    return same_life && ended;
}

bool holder_watch::is_absent(std::string const& instance, state::time_point now)
{
    if (!m_complete)
    {
        return false;
    }
    auto const since = m_absent.try_emplace(instance, now).first->second;
    return now - since >= absence;
}

} // namespace camphortide::coordination
