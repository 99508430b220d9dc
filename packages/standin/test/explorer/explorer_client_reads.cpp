#include "explorer_client.hpp"

#include <limits>
#include <utility>

namespace camphortide::standin
{

namespace
{

constexpr char const* query = "get n";
constexpr state::duration read_timeout{60};
constexpr state::duration max_age{25};
constexpr auto no_limit = std::numeric_limits<std::uint64_t>::max();

std::uint64_t to_number(std::string const& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::string to_string(state::log_position position)
{
    return std::to_string(position.m_term.value()) + ":" +
           std::to_string(position.m_index);
}

} // namespace

void explorer_client::start_read()
{
    auto const home = m_simulation.random().below(m_homes.size());
    auto const member = m_simulation.random().below(m_simulation.size());
    m_home_states.resize(m_homes.size());
    held_read read;
    read.m_session = m_simulation.random().below(sessions);
    read.m_min_index = m_tokens[read.m_session].m_index;
    read.m_requirement = make_requirement(read.m_session);
    m_homes[home]->send_statement(
        member, "read", [](member_model& model) { return model.read(query); },
        [this, home, read](statement_answer const& answer)
        {
            auto held = read;
            held.m_answer = answer;
            m_home_states[home].m_reads.push_back(std::move(held));
        });
}

coordination::read_requirement
explorer_client::make_requirement(std::size_t session)
{
    coordination::read_requirement result;
    result.m_source = coordination::read_requirement::source::any;
    result.m_arrival = m_simulation.now();
    result.m_deadline =
        coordination::deadline(m_simulation.now() + read_timeout);
    if (m_tokens[session].m_index > 0 &&
        m_simulation.broken() != broken_rule::ignore_token)
    {
        result.m_covered = m_tokens[session];
    }
    if (m_simulation.random().percent(50))
    {
        result.m_max_age = max_age;
    }
    return result;
}

bool explorer_client::evaluate_read(std::size_t home, held_read const& read)
{
    auto const view = view_for_reads(home);
    auto const result = coordination::accept_read(
        read.m_answer.m_position, read.m_requirement, view,
        m_homes[home]->samples(), m_simulation.now());
    if (result.m_reason == state::reason::bad_token)
    {
        m_simulation.trace("token " + to_string(*read.m_requirement.m_covered) +
                           " refused at home " + std::to_string(home) +
                           ", log ends at " + to_string(view.m_last) +
                           " in term " + std::to_string(view.m_term.value()));
        for (auto const& start : view.m_history.starts())
        {
            m_simulation.trace("  term " +
                               std::to_string(start.m_term.value()) + " from " +
                               std::to_string(start.m_first_index));
        }
        m_simulation.checker().note_violation(guarantee::valid_token);
    }
    if (result.m_decision != coordination::read_decision::release)
    {
        return result.m_decision != coordination::read_decision::hold;
    }
    auto const position = read.m_answer.m_position;
    m_simulation.checker().note_released(
        m_homes[home]->log().m_term, position,
        to_number(read.m_answer.m_result), read.m_min_index,
        result.m_age ? std::optional(m_simulation.now() - *result.m_age)
                     : std::nullopt);
    auto& token = m_tokens[read.m_session];
    if (token.m_index < position.m_index)
    {
        token = position;
    }
    m_simulation.trace("read released at " + to_string(position) + " by home " +
                       std::to_string(home) + " in term " +
                       std::to_string(view.m_term.value()));
    return true;
}

coordination::log_view explorer_client::view_for_reads(std::size_t home) const
{
    auto view = m_homes[home]->log();
    if (m_simulation.broken() == broken_rule::release_unsafe_reads)
    {
        view.m_safe = no_limit;
        view.m_last.m_index = no_limit;
        view.m_history = {};
    }
    return view;
}

} // namespace camphortide::standin
