#include <sstream>

#include <camphortide/load/history/request_record.hpp>

namespace camphortide::load
{

namespace
{

constexpr double us_per_ms = 1000.0;

double in_ms(run_time value)
{
    return static_cast<double>(value.count()) / us_per_ms;
}

void append_position(std::ostringstream& out, char const* name,
                     std::optional<state::log_position> const& value)
{
    if (value)
    {
        out << ' ' << name << '=' << value->m_term.value() << '/'
            << value->m_index;
    }
}

} // namespace

bool is_rolled_back(request_record const& value)
{
    return value.m_request.m_rolls_back &&
           value.m_outcome == state::outcome::not_executed &&
           value.m_reason == state::reason::none;
}

std::string to_line(request_record const& value)
{
    std::ostringstream out;
    out << "request=" << value.m_request.m_number
        << " attempt=" << value.m_attempt
        << " session=" << value.m_request.m_session
        << " instance=" << value.m_instance
        << " group=" << value.m_request.m_group
        << " sent_ms=" << in_ms(value.m_sent)
        << " answered_ms=" << in_ms(value.m_answered);
    for (auto const& statement : value.m_request.m_statements)
    {
        out << " statement=\"" << statement << '"';
    }
    for (auto const& result : value.m_results)
    {
        out << " step_result=\"" << result << '"';
    }
    if (!value.m_key.empty())
    {
        out << " key=" << value.m_key;
    }
    out << " outcome=" << to_string(value.m_outcome)
        << " reason=" << to_string(value.m_reason) << " result=\""
        << value.m_result << "\" member=" << value.m_member;
    if (value.m_from_replica)
    {
        out << " replica age_ms=" << value.m_age.count();
    }
    append_position(out, "token_sent", value.m_token_sent);
    append_position(out, "token_received", value.m_token_received);
    return out.str();
}

} // namespace camphortide::load
