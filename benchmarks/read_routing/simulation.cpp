#include "simulation.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphortide::benchmark
{

namespace
{

using namespace coordination;

constexpr double run_seconds = 40;
constexpr double warm_up_ms = 5000; ///< earlier reads are not measured
constexpr double probe_interval_ms = 10;
constexpr double deadline_ms = 1000;
constexpr double safe_delay_ms = 2;
constexpr double new_session_fraction = 0.1; ///< probability per read
constexpr std::uint64_t fixed_term = 1;

state::time_point to_time(double ms)
{
    return state::time_point(
        state::duration(static_cast<std::int64_t>(std::floor(ms))));
}

state::log_position position_at(std::uint64_t index)
{
    return {state::term(index == 0 ? 0 : fixed_term), index};
}

} // namespace

simulation::simulation(deployment const& parameters, lag_setting const& lag,
                       std::string_view strategy, std::uint64_t seed)
    : m_parameters(parameters),
      m_random(seed),
      m_log(parameters, lag, run_seconds, m_random),
      m_router(make_read_strategy(strategy)),
      m_members(group_log::members),
      m_slots(group_log::members, std::vector<double>(parameters.m_slots, 0.0))
{
    for (auto& member : m_members)
    {
        member.m_role = state::member_role::replica;
        member.m_slots = static_cast<std::uint32_t>(parameters.m_slots);
        member.m_free_connections =
            static_cast<std::uint32_t>(parameters.m_connections);
        member.m_latency = state::duration(std::llround(
            parameters.m_service_ms + 2 * parameters.m_network_ms));
    }
    m_members[0].m_role = state::member_role::primary;
    for (auto const& entry : parameters.m_classes)
    {
        m_tokens.emplace_back(entry.m_sessions, 0);
    }
}

routing_results simulation::run()
{
    constexpr handler handlers[]{
        &simulation::on_arrival, &simulation::on_route, &simulation::on_answer,
        &simulation::on_write,   &simulation::on_probe, &simulation::on_status};
    schedule(0, event_kind::probe, 1);
    schedule(1, event_kind::arrival, 0);
    for (std::size_t i = 0; i < m_log.write_times().size(); ++i)
    {
        schedule(m_log.write_times()[i], event_kind::write, i);
    }
    while (m_events.top().m_ms < run_seconds * 1000)
    {
        auto const next = m_events.top();
        m_events.pop();
        m_now = next.m_ms;
        (this->*handlers[static_cast<std::size_t>(next.m_kind)])(
            next.m_subject);
    }
    return std::move(m_results);
}

void simulation::schedule(double ms, event_kind kind, std::size_t subject)
{
    m_events.push({ms, ++m_order, kind, subject});
}

void simulation::on_arrival(std::size_t)
{
    std::exponential_distribution<double> gap(m_parameters.m_reads_per_second /
                                              1000);
    schedule(m_now + gap(m_random), event_kind::arrival, 0);
    read value;
    value.m_arrival_ms = m_now;
    value.m_class = pick_class();
    value.m_random = m_random();
    auto const& entry = m_parameters.m_classes[value.m_class];
    state::session_token token;
    if (entry.m_sessions > 0)
    {
        value.m_session = m_random() % entry.m_sessions;
        auto& position = m_tokens[value.m_class][value.m_session];
        bool const starts_session =
            !entry.m_writes &&
            std::uniform_real_distribution<>()(m_random) < new_session_fraction;
        position = starts_session ? 0 : position;
        token =
            position == 0 ? token : token.advanced("g", position_at(position));
    }
    value.m_requirement =
        make_read_requirement(token, "g", entry.m_max_age, now(),
                              deadline(to_time(m_now + deadline_ms)));
    value.m_requirement.m_delivery_time =
        state::duration(std::llround(m_parameters.m_client_ms));
    if (m_now > warm_up_ms)
    {
        ++m_results.m_reads;
        m_results.m_replica_eligible += replica_could_serve(value) ? 1 : 0;
    }
    m_reads.push_back(value);
    on_route(m_reads.size() - 1);
}

void simulation::on_route(std::size_t subject)
{
    auto& value = m_reads[subject];
    value.m_waiting = false;
    auto const choice =
        m_router.route({value.m_requirement, m_members, m_samples, 0,
                        value.m_primary_next, value.m_random, now()});
    if (choice.m_action == read_choice::action::refuse)
    {
        ++m_results.m_refused;
        return;
    }
    if (choice.m_action == read_choice::action::wait)
    {
        value.m_waiting = true;
        m_waiting.push_back(subject);
        return;
    }
    value.m_member = choice.m_member;
    auto& member = m_members[choice.m_member];
    ++member.m_outstanding;
    member.m_free_connections -= member.m_free_connections > 0 ? 1 : 0;
    auto const finish =
        occupy(choice.m_member, m_now + m_parameters.m_network_ms);
    value.m_position = m_log.applied(choice.m_member, finish);
    schedule(finish + m_parameters.m_network_ms, event_kind::answer, subject);
}

void simulation::on_answer(std::size_t subject)
{
    auto const& value = m_reads[subject];
    auto& member = m_members[value.m_member];
    --member.m_outstanding;
    member.m_free_connections = static_cast<std::uint32_t>(
        m_parameters.m_connections -
        std::min<std::size_t>(m_parameters.m_connections,
                              member.m_outstanding));
    set_applied(value.m_member, value.m_position);
    process_answer(subject);
}

void simulation::process_answer(std::size_t subject)
{
    auto& value = m_reads[subject];
    auto const acceptance =
        accept_read(position_at(value.m_position), value.m_requirement, log(),
                    m_samples, now());
    if (acceptance.m_decision == read_decision::hold)
    {
        m_held.push_back(subject);
        return;
    }
    bool const is_measured = value.m_arrival_ms > warm_up_ms;
    if (acceptance.m_decision == read_decision::retry)
    {
        m_results.m_retries += is_measured ? 1 : 0;
        value.m_primary_next = true;
        on_route(subject);
        return;
    }
    if (acceptance.m_decision == read_decision::drop)
    {
        m_results.m_refused += is_measured ? 1 : 0;
        return;
    }
    auto const& entry = m_parameters.m_classes[value.m_class];
    if (entry.m_sessions > 0)
    {
        auto& token = m_tokens[value.m_class][value.m_session];
        token = std::max(token, value.m_position);
    }
    if (!is_measured)
    {
        return;
    }
    m_results.m_from_replica += value.m_member != 0 ? 1 : 0;
    auto const age =
        m_log.age(value.m_position, m_now) + m_parameters.m_client_ms;
    bool const too_old =
        entry.m_max_age && age > static_cast<double>(entry.m_max_age->count());
    m_results.m_too_old += too_old ? 1 : 0;
    m_results.m_latency_ms.push_back(m_now - value.m_arrival_ms +
                                     2 * m_parameters.m_client_ms);
}

void simulation::on_write(std::size_t index)
{
    occupy(0, m_now);
    for (std::size_t i = 0; i < m_parameters.m_classes.size(); ++i)
    {
        auto& tokens = m_tokens[i];
        if (m_parameters.m_classes[i].m_writes)
        {
            tokens[m_random() % tokens.size()] = index + 1;
        }
    }
}

void simulation::on_probe(std::size_t number)
{
    m_samples.note_probe_sent(number, now());
    schedule(m_now + 2 * m_parameters.m_network_ms, event_kind::status, number);
    schedule(m_now + probe_interval_ms, event_kind::probe, number + 1);
}

void simulation::on_status(std::size_t number)
{
    auto const reported_at = m_now - m_parameters.m_network_ms;
    for (std::size_t i = 0; i < group_log::members; ++i)
    {
        state::member_status status;
        status.m_member = std::to_string(i);
        status.m_role = m_members[i].m_role;
        status.m_granted = status.m_followed = state::term(fixed_term);
        status.m_received = position_at(m_log.applied(0, reported_at));
        status.m_probe = number;
        m_samples.note_status(status);
        set_applied(i, m_log.applied(i, reported_at));
    }
    for (auto const subject : std::exchange(m_held, {}))
    {
        process_answer(subject);
    }
    for (auto const subject : std::exchange(m_waiting, {}))
    {
        on_route(subject);
    }
}

double simulation::occupy(std::size_t member, double ms)
{
    std::exponential_distribution<double> service(1 /
                                                  m_parameters.m_service_ms);
    auto const slot = std::ranges::min_element(m_slots[member]);
    *slot = std::max(*slot, ms) + service(m_random);
    return *slot;
}

void simulation::set_applied(std::size_t member, std::uint64_t index)
{
    auto& applied = m_members[member].m_applied;
    applied = std::max(applied, index);
    m_lags[member].note_applied(applied, m_samples, now());
    m_members[member].m_lag = m_lags[member].expected();
}

bool simulation::replica_could_serve(read const& value) const
{
    if (value.m_requirement.m_source != read_requirement::source::any)
    {
        return false;
    }
    auto const delivery_ms = m_parameters.m_client_ms +
                             m_parameters.m_service_ms +
                             2 * m_parameters.m_network_ms;
    for (std::size_t i = 1; i < group_log::members; ++i)
    {
        auto const index = m_log.applied(i, m_now);
        auto const age = m_log.age(index, m_now) + delivery_ms;
        bool const is_fresh_enough =
            !value.m_requirement.m_max_age ||
            age <= static_cast<double>(value.m_requirement.m_max_age->count());
        if (is_fresh_enough && index >= value.m_requirement.covered_index())
        {
            return true;
        }
    }
    return false;
}

std::size_t simulation::pick_class()
{
    auto draw = std::uniform_real_distribution<>()(m_random);
    std::size_t i = 0;
    while (i + 1 < m_parameters.m_classes.size() &&
           draw >= m_parameters.m_classes[i].m_read_fraction)
    {
        draw -= m_parameters.m_classes[i].m_read_fraction;
        ++i;
    }
    return i;
}

log_view simulation::log() const
{
    state::term const term(fixed_term);
    return {term, position_at(m_log.applied(0, m_now)),
            state::term_history({{term, 1}}),
            m_log.applied(0, m_now - safe_delay_ms)};
}

state::time_point simulation::now() const
{
    return to_time(m_now);
}

} // namespace camphortide::benchmark
