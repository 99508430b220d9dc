#include <algorithm>
#include <utility>
#include <variant>

#include <camphortide/load/driver/load_driver.hpp>
#include <camphortide/protocol/hexadecimal.hpp>

namespace camphortide::load
{

namespace
{

/// Time after the end of the arrivals in which callers still repeat requests
/// and query outcomes.
constexpr run_time max_overrun{15'000'000};
constexpr run_time outcome_query_interval{200'000};
constexpr run_time first_backoff{20'000};
constexpr run_time max_backoff{640'000};
constexpr run_time instance_retry_interval{100'000};
/// Upper bound for the retry delay that an answer requests.
constexpr run_time max_retry_wait{5'000'000};

bool is_retryable(state::reason why)
{
    using state::reason;
    switch (why)
    {
    case reason::unknown_entry:
    case reason::bad_credential:
    case reason::wrong_customer:
    case reason::bad_token:
    case reason::bad_request:
    case reason::statement_failed:
    case reason::too_large:
    case reason::key_conflict:
        return false;
    default:
        return true;
    }
}

/// @return true if another instance may execute the request
bool should_change_instance(call_answer const& answer)
{
    return !answer.m_from_instance ||
           answer.m_reason == state::reason::draining ||
           answer.m_reason == state::reason::no_catalogue ||
           answer.m_reason == state::reason::no_home;
}

run_time backoff(std::uint32_t attempt)
{
    return std::min(max_backoff,
                    first_backoff * (std::int64_t{1} << std::min(attempt, 6U)));
}

} // namespace

load_driver::load_driver(transport::deployment const& value,
                         instance_provider instances, driver_options options)
    : m_deployment(value),
      m_instances(std::move(instances)),
      m_options(std::move(options)),
      m_source(value, m_options.m_seed, m_options.m_run),
      m_random(m_options.m_seed)
{
    for (auto const& customer : value.m_customers)
    {
        m_credentials[customer.m_name] = customer.m_credential;
    }
    if (auto key = protocol::from_hexadecimal(m_options.m_token_key);
        key && !key->empty())
    {
        m_codec.emplace(std::vector<std::string>{*std::move(key)});
    }
}

load_driver::~load_driver()
{
    m_timers.stop();
}

void load_driver::start()
{
    m_start = std::chrono::steady_clock::now();
    run_after(run_time{0}, [this] { schedule_arrival(); });
}

history load_driver::wait()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_finished; });
    return std::move(m_history);
}

run_time load_driver::now() const
{
    return std::chrono::duration_cast<run_time>(
        std::chrono::steady_clock::now() - m_start);
}

driver_progress load_driver::progress() const
{
    return {m_arrived, m_executed, m_failed};
}

void load_driver::run_after(run_time delay, std::function<void()> run)
{
    m_timers.after(std::max(delay, run_time{0}), std::move(run));
}

void load_driver::schedule_arrival()
{
    m_next.reset();
    if (!m_source.empty())
    {
        m_next = m_source.next();
    }
    if (!m_next || m_next->m_intended >= m_options.m_duration)
    {
        m_next.reset();
        finish_if_done();
        return;
    }
    run_after(m_next->m_intended - now(), [this] { handle_arrival(); });
}

void load_driver::handle_arrival()
{
    ++m_arrived;
    ++m_open_requests;
    auto& session = m_sessions[m_next->m_session];
    session.m_waiting.push_back(*std::move(m_next));
    if (!session.m_active)
    {
        start_next(session);
    }
    schedule_arrival();
}

void load_driver::start_next(session_state& session)
{
    if (session.m_waiting.empty())
    {
        finish_if_done();
        return;
    }
    request_record attempt;
    attempt.m_request = std::move(session.m_waiting.front());
    session.m_waiting.pop_front();
    if (attempt.m_request.m_changes_instance)
    {
        session.m_instance.clear();
    }
    session.m_active = std::move(attempt);
    send(session);
}

void load_driver::send(session_state& session)
{
    auto& attempt = *session.m_active;
    attempt.m_sent = now();
    if (is_past_end())
    {
        attempt.m_answered = attempt.m_sent;
        attempt.m_outcome = state::outcome::not_executed;
        attempt.m_reason = state::reason::cancelled;
        finish_attempt(session, state::duration{0});
        return;
    }
    auto const context = choose_instance(session);
    if (context.m_address.empty())
    {
        run_after(instance_retry_interval, [this, &session] { send(session); });
        return;
    }
    if (attempt.m_request.m_kind != transport::traffic_kind::read)
    {
        attempt.m_key = m_options.m_run + '-' +
                        std::to_string(attempt.m_request.m_number) + '.' +
                        std::to_string(attempt.m_attempt);
    }
    attempt.m_instance = session.m_instance;
    attempt.m_token_named_group =
        session.m_groups.contains(attempt.m_request.m_group);
    attempt.m_tokens_decoded = m_codec.has_value();
    attempt.m_token_sent =
        position_in(session.m_token, attempt.m_request.m_group);
    run_after(m_deployment.m_latency_to_clients,
              [this, &session, context]
              {
                  m_client.send(context, *session.m_active,
                                answer_to(session, &load_driver::on_answer));
              });
}

caller_client::answer_handler load_driver::answer_to(
    session_state& session,
    void (load_driver::*handler)(session_state&, call_answer const&))
{
    return [this, &session, handler](call_answer answer)
    {
        run_after(m_deployment.m_latency_to_clients,
                  [this, &session, handler, answer = std::move(answer)]
                  { (this->*handler)(session, answer); });
    };
}

void load_driver::on_answer(session_state& session, call_answer const& answer)
{
    auto& attempt = *session.m_active;
    attempt.m_answered = now();
    attempt.m_first_outcome = answer.m_outcome;
    attempt.m_outcome = answer.m_outcome;
    attempt.m_reason = answer.m_reason;
    attempt.m_result = answer.m_result;
    attempt.m_results = answer.m_results;
    attempt.m_member = answer.m_member;
    attempt.m_from_replica = answer.m_from_replica;
    attempt.m_replayed = answer.m_replayed;
    attempt.m_age = answer.m_age;
    store_token(session, answer.m_token);
    if (should_change_instance(answer))
    {
        session.m_instance.clear();
    }
    bool const queries_outcome =
        attempt.m_outcome == state::outcome::unknown &&
        attempt.m_request.m_kind != transport::traffic_kind::read;
    if (queries_outcome)
    {
        run_after(first_backoff, [this, &session] { query_outcome(session); });
        return;
    }
    finish_attempt(session, answer.m_retry_after);
}

void load_driver::query_outcome(session_state& session)
{
    auto const context = choose_instance(session);
    if (context.m_address.empty())
    {
        if (is_past_end())
        {
            finish_attempt(session, state::duration{0});
            return;
        }
        run_after(instance_retry_interval,
                  [this, &session] { query_outcome(session); });
        return;
    }
    m_client.query_outcome(context, *session.m_active,
                           answer_to(session, &load_driver::on_outcome));
}

void load_driver::on_outcome(session_state& session, call_answer const& answer)
{
    auto& attempt = *session.m_active;
    if (answer.m_outcome == state::outcome::unknown)
    {
        if (is_past_end())
        {
            finish_attempt(session, state::duration{0});
            return;
        }
        session.m_instance.clear();
        run_after(outcome_query_interval,
                  [this, &session] { query_outcome(session); });
        return;
    }
    attempt.m_answered = now();
    attempt.m_outcome = answer.m_outcome;
    attempt.m_reason = answer.m_reason;
    attempt.m_result = answer.m_result;
    store_token(session, answer.m_token);
    finish_attempt(session, state::duration{0});
}

void load_driver::finish_attempt(session_state& session,
                                 state::duration retry_after)
{
    auto& attempt = *session.m_active;
    bool const executed = attempt.m_outcome == state::outcome::executed;
    ++(executed || is_rolled_back(attempt) ? m_executed : m_failed);
    bool const unknown_write =
        attempt.m_outcome == state::outcome::unknown &&
        attempt.m_request.m_kind != transport::traffic_kind::read;
    bool const repeats = !executed && !unknown_write && !is_past_end() &&
                         !is_rolled_back(attempt) &&
                         is_retryable(attempt.m_reason) &&
                         attempt.m_attempt < m_options.m_max_attempts;
    attempt.m_final = !repeats;
    m_history.push_back(attempt);
    if (!repeats)
    {
        --m_open_requests;
        session.m_active.reset();
        start_next(session);
        return;
    }
    request_record next;
    next.m_request = attempt.m_request;
    next.m_attempt = attempt.m_attempt + 1;
    run_time const wait =
        std::min(max_retry_wait,
                 std::max<run_time>(retry_after, backoff(attempt.m_attempt)));
    session.m_active = std::move(next);
    run_after(wait, [this, &session] { send(session); });
}

void load_driver::store_token(session_state& session, std::string const& token)
{
    if (token.empty())
    {
        return;
    }
    session.m_token = token;
    auto& attempt = *session.m_active;
    session.m_groups.insert(attempt.m_request.m_group);
    attempt.m_token_received = position_in(token, attempt.m_request.m_group);
}

call_context load_driver::choose_instance(session_state& session)
{
    auto const available = m_instances();
    auto found = std::ranges::find(available, session.m_instance,
                                   &caller_address::m_instance);
    if (found == available.end() && !available.empty())
    {
        auto const index = m_random() % available.size();
        found = available.begin() + static_cast<std::ptrdiff_t>(index);
    }
    if (found == available.end())
    {
        return {};
    }
    session.m_instance = found->m_instance;
    return {found->m_address,
            m_credentials[session.m_active->m_request.m_customer],
            session.m_token};
}

std::optional<state::log_position>
load_driver::position_in(std::string const& token, std::string const& group)
{
    if (!m_codec || token.empty())
    {
        return std::nullopt;
    }
    auto const decoded = m_codec->decode(token);
    auto const* const value = std::get_if<state::session_token>(&decoded);
    return value != nullptr ? value->find(group) : std::nullopt;
}

bool load_driver::is_past_end() const
{
    return now() > m_options.m_duration + max_overrun;
}

void load_driver::finish_if_done()
{
    if (m_next || m_open_requests > 0)
    {
        return;
    }
    std::scoped_lock const lock(m_mutex);
    m_finished = true;
    m_changed.notify_all();
}

} // namespace camphortide::load
