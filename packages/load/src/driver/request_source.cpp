#include <algorithm>
#include <cmath>
#include <string_view>

#include <camphortide/load/driver/request_source.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace camphortide::load
{

namespace
{

constexpr double us_per_s = 1e6;
/// Fraction of the requests that use the row that their session used last.
constexpr double same_row_share = 0.3;
/// Exponent that skews the choice of a row towards low numbers: the row is
/// proportional to a uniform random number raised to this.
constexpr double row_skew = 2.0;
/// Percentage of the transactions that their callers roll back.
constexpr std::uint64_t roll_back_percent = 5;

void replace_all(std::string& text, std::string_view name,
                 std::string const& value)
{
    for (auto at = text.find(name); at != std::string::npos;
         at = text.find(name, at + value.size()))
    {
        text.replace(at, name.size(), value);
    }
}

/// @return the text before "{item}" in the key of the first statement that
///     contains it, such as "toy:"; empty if none does
std::string row_prefix(transport::deployment_traffic const& traffic)
{
    for (auto const& statement : traffic.m_statements)
    {
        auto const item = statement.find("{item}");
        if (item != std::string::npos)
        {
            auto const blank = statement.rfind(' ', item);
            return statement.substr(blank + 1, item - blank - 1);
        }
    }
    return {};
}

} // namespace

request_source::request_source(transport::deployment const& value,
                               std::uint64_t seed, std::string run)
    : m_run(std::move(run))
{
    for (auto const& traffic : value.m_traffic)
    {
        auto const entry =
            std::ranges::find(value.m_entries, traffic.m_entry,
                              &transport::deployment_entry::m_name);
        if (entry == value.m_entries.end() || traffic.m_statements.empty())
        {
            continue;
        }
        std::seed_seq seeds{seed, std::uint64_t{m_streams.size()}};
        m_streams.push_back({traffic, *entry, std::mt19937_64(seeds), {}});
        m_streams.back().m_next = interarrival_time(m_streams.back());
    }
}

planned_request request_source::next()
{
    auto& from =
        *std::ranges::min_element(m_streams, {}, &traffic_stream::m_next);
    auto const& traffic = from.m_traffic;
    planned_request result;
    result.m_number = ++m_count;
    result.m_traffic = traffic.m_name;
    result.m_customer = from.m_entry.m_customer;
    result.m_class_name = from.m_entry.m_class_name;
    result.m_session = result.m_customer + '-' +
                       std::to_string(from.m_random() % traffic.m_sessions);
    result.m_kind = traffic.m_kind;
    result.m_idempotent = traffic.m_idempotent;
    result.m_changes_instance = from.m_random() % 100 < traffic.m_move_percent;
    result.m_rolls_back =
        traffic.m_kind == transport::traffic_kind::transaction &&
        from.m_random() % 100 < roll_back_percent;
    result.m_max_age = from.m_entry.m_limits.m_age;
    result.m_deadline = from.m_entry.m_limits.m_deadline;
    result.m_intended = from.m_next;
    auto const item = choose_item(from, result.m_session);
    auto const& groups = from.m_entry.m_groups;
    result.m_group = groups[item % groups.size()];
    result.m_entry = catalogue_entry_name(from.m_entry, result.m_group);
    for (auto const& statement : traffic.m_statements)
    {
        result.m_statements.push_back(
            expand_placeholders(statement, result.m_session, item));
    }
    from.m_next += interarrival_time(from);
    return result;
}

double request_source::uniform(std::mt19937_64& random)
{
    return static_cast<double>(random() >> 11U) * 0x1p-53;
}

run_time request_source::interarrival_time(traffic_stream& from) const
{
    double const seconds =
        -std::log(1.0 - uniform(from.m_random)) / from.m_traffic.m_rate;
    return run_time(1 + std::llround(seconds * us_per_s));
}

std::uint32_t request_source::choose_item(traffic_stream& from,
                                          std::string const& session)
{
    auto const prefix = row_prefix(from.m_traffic);
    if (prefix.empty())
    {
        return static_cast<std::uint32_t>(from.m_random() >> 32U);
    }
    double const same = uniform(from.m_random);
    double const position = std::pow(uniform(from.m_random), row_skew);
    auto const known = m_last_items.find({session, prefix});
    if (known != m_last_items.end() && same < same_row_share)
    {
        return known->second;
    }
    auto const item = static_cast<std::uint32_t>(
        position * static_cast<double>(from.m_traffic.m_items));
    m_last_items[{session, prefix}] = item;
    return item;
}

std::string request_source::expand_placeholders(std::string text,
                                                std::string const& session,
                                                std::uint32_t item) const
{
    std::string const number = m_run + '-' + std::to_string(m_count);
    replace_all(text, "{item}", std::to_string(item));
    replace_all(text, "{request}", number);
    replace_all(text, "{session}", session + '/' + number);
    return text;
}

} // namespace camphortide::load
