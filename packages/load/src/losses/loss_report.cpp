#include <algorithm>
#include <array>

#include <camphortide/load/losses/loss_report.hpp>

namespace camphortide::load
{

namespace
{

constexpr std::size_t max_shown_line = 120;

/// Outcomes that promise that nothing of the request is kept.
constexpr std::array<std::string_view, 8> promises{
    "busy",      "aborted",  "lagging",          "read_only",
    "misrouted", "overload", "no_such_database", "unauthorized"};

loss_kind kind_of(std::string_view outcome)
{
    if (outcome == "ok")
    {
        return loss_kind::late;
    }
    return std::ranges::find(promises, outcome) == promises.end()
               ? loss_kind::failed
               : loss_kind::refused;
}

} // namespace

std::string_view to_string(loss_kind kind)
{
    constexpr std::array<std::string_view, 3> names{"refused", "failed",
                                                    "late"};
    return names.at(static_cast<std::size_t>(kind));
}

void loss_count::add(loss_count const& other)
{
    m_requests += other.m_requests;
    m_held_back += other.m_held_back;
    m_waited_ms += other.m_waited_ms;
    m_max_waited_ms = std::max(m_max_waited_ms, other.m_max_waited_ms);
    m_max_permit_age_ms =
        std::max(m_max_permit_age_ms, other.m_max_permit_age_ms);
    for (auto const& [instance, count] : other.m_entries)
    {
        m_entries[instance] += count;
    }
}

loss_report::loss_report(std::size_t max_keys, std::size_t max_requests)
    : m_max_keys(max_keys),
      m_max_requests(max_requests)
{
}

void loss_report::read(std::string_view line, std::string const& instance)
{
    if (line.empty())
    {
        return;
    }
    ++m_lines;
    auto const record = transport::parse_log_line(line);
    if (!record)
    {
        if (m_unknown_lines++ == 0)
        {
            m_first_unknown = line.substr(0, max_shown_line);
        }
        return;
    }
    auto const& name =
        record->m_instance.empty() ? instance : record->m_instance;
    if (record->m_message == "statement answered" ||
        record->m_message == "statement failed" ||
        record->m_message == "refused without a member")
    {
        add_end(*record, name);
    }
    else if (record->m_message == "statement sent again")
    {
        add_sent_again(*record, name);
    }
}

void loss_report::add_end(transport::log_record const& record,
                          std::string const& instance)
{
    auto const held_back =
        static_cast<std::uint64_t>(record.number("held_back"));
    m_held_back += held_back;
    auto const kind = kind_of(record.field("outcome"));
    auto const target = record.number("target");
    if (kind == loss_kind::late &&
        (target == 0 || record.number("took") <= target))
    {
        ++m_answered;
        return;
    }
    loss_key key;
    key.m_second = record.m_time_ms / 1000;
    key.m_group = record.field("group");
    key.m_route = record.field("route");
    key.m_kind = kind;
    key.m_cause = kind == loss_kind::late
                      ? (record.field("primary") == "true" ? "at the primary"
                                                           : "at a replica")
                      : std::string(record.field("cause"));
    if (m_losses.size() < m_max_keys)
    {
        key.m_instance = instance;
        key.m_member = record.field("member");
    }
    else
    {
        m_condensed = true;
    }
    loss_count count;
    count.m_requests = 1;
    count.m_held_back = kind == loss_kind::late ? 0 : held_back;
    count.m_waited_ms = count.m_max_waited_ms = record.number("waited");
    count.m_max_permit_age_ms = record.number("permit_age");
    auto const sender = m_sent_again.find(std::string(record.field("id")));
    if (sender != m_sent_again.end())
    {
        count.m_entries[sender->second] = 1;
    }
    m_losses[key].add(count);
}

void loss_report::add_sent_again(transport::log_record const& record,
                                 std::string const& instance)
{
    std::string id(record.field("id"));
    if (id.empty() || !m_sent_again.emplace(id, instance).second)
    {
        return;
    }
    m_sent_order.push_back(std::move(id));
    if (m_sent_order.size() > m_max_requests)
    {
        m_sent_again.erase(m_sent_order.front());
        m_sent_order.pop_front();
    }
}

std::vector<loss_report::row> loss_report::spans() const
{
    std::map<loss_key, loss_count> spans;
    for (auto const& [key, count] : m_losses)
    {
        auto span = key;
        span.m_instance.clear();
        span.m_member.clear();
        spans[span].add(count);
    }
    std::vector<row> rows(spans.begin(), spans.end());
    std::ranges::stable_sort(
        rows, std::greater<>(),
        [](row const& each)
        { return each.second.m_requests + each.second.m_held_back; });
    return rows;
}

} // namespace camphortide::load
