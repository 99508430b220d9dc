#include <algorithm>
#include <utility>
#include <variant>

#include <camphortide/load/driver/load_driver.hpp>
#include <camphortide/protocol/hexadecimal.hpp>

namespace camphortide::load
{

namespace
{

/// How long callers go on after the last arrival.
constexpr run_time most_after_end{15'000'000};
constexpr run_time between_questions{200'000};
constexpr run_time first_backoff{20'000};
constexpr run_time most_backoff{640'000};
constexpr run_time no_instance_wait{100'000};
/// A caller repeats after so long, whatever the answer's hint says.
constexpr run_time most_retry_wait{5'000'000};

bool may_be_repeated(state::reason why)
{
    using state::reason;
    switch (why)
    {
    case reason::unknown_entry:
    case reason::bad_credential:
    case reason::wrong_owner:
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

/// @return true if another instance may do better
bool wants_another(call_answer const& answer)
{
    return !answer.m_from_instance ||
           answer.m_reason == state::reason::draining ||
           answer.m_reason == state::reason::no_catalogue ||
           answer.m_reason == state::reason::no_home;
}

run_time backoff(std::uint32_t attempt)
{
    return std::min(most_backoff,
                    first_backoff * (std::int64_t{1} << std::min(attempt, 6U)));
}

} // namespace

load_driver::load_driver(transport::deployment const& value,
                         directory instances, driver_options options)
    : m_deployment(value),
      m_instances(std::move(instances)),
      m_options(std::move(options)),
      m_source(value, m_options.m_seed, m_options.m_run),
      m_random(m_options.m_seed)
{
    for (auto const& owner : value.m_owners)
    {
        m_credentials[owner.m_name] = owner.m_credential;
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
    after(run_time{0}, [this] { schedule_arrival(); });
}

history load_driver::wait()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_over; });
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

void load_driver::after(run_time delay, std::function<void()> run)
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
        finish_if_over();
        return;
    }
    after(m_next->m_intended - now(), [this] { arrive(); });
}

void load_driver::arrive()
{
    ++m_arrived;
    ++m_open;
    auto& of = m_sessions[m_next->m_session];
    of.m_waiting.push_back(*std::move(m_next));
    if (!of.m_active)
    {
        start_next(of);
    }
    schedule_arrival();
}

void load_driver::start_next(session& of)
{
    if (of.m_waiting.empty())
    {
        finish_if_over();
        return;
    }
    request_record attempt;
    attempt.m_request = std::move(of.m_waiting.front());
    of.m_waiting.pop_front();
    if (attempt.m_request.m_moves)
    {
        of.m_instance.clear();
    }
    of.m_active = std::move(attempt);
    send(of);
}

void load_driver::send(session& of)
{
    auto& attempt = *of.m_active;
    attempt.m_sent = now();
    if (give_up())
    {
        attempt.m_answered = attempt.m_sent;
        attempt.m_outcome = state::outcome::not_executed;
        attempt.m_reason = state::reason::cancelled;
        settle(of, state::duration{0});
        return;
    }
    auto const context = choose_instance(of);
    if (context.m_address.empty())
    {
        after(no_instance_wait, [this, &of] { send(of); });
        return;
    }
    if (attempt.m_request.m_kind != transport::traffic_kind::read)
    {
        attempt.m_key = m_options.m_run + '-' +
                        std::to_string(attempt.m_request.m_number) + '.' +
                        std::to_string(attempt.m_attempt);
    }
    attempt.m_instance = of.m_instance;
    attempt.m_token_named_group =
        of.m_groups.contains(attempt.m_request.m_group);
    attempt.m_tokens_known = m_codec.has_value();
    attempt.m_token_sent = position_in(of.m_token, attempt.m_request.m_group);
    after(m_deployment.m_latency_to_clients,
          [this, &of, context]
          {
              m_client.send(context, *of.m_active,
                            back_to(of, &load_driver::on_answer));
          });
}

caller_client::answered
load_driver::back_to(session& of,
                     void (load_driver::*handler)(session&, call_answer const&))
{
    return [this, &of, handler](call_answer answer)
    {
        after(m_deployment.m_latency_to_clients,
              [this, &of, handler, answer = std::move(answer)]
              { (this->*handler)(of, answer); });
    };
}

void load_driver::on_answer(session& of, call_answer const& answer)
{
    auto& attempt = *of.m_active;
    attempt.m_answered = now();
    attempt.m_told = answer.m_outcome;
    attempt.m_outcome = answer.m_outcome;
    attempt.m_reason = answer.m_reason;
    attempt.m_result = answer.m_result;
    attempt.m_results = answer.m_results;
    attempt.m_member = answer.m_member;
    attempt.m_from_replica = answer.m_from_replica;
    attempt.m_replayed = answer.m_replayed;
    attempt.m_age = answer.m_age;
    take_token(of, answer.m_token);
    if (wants_another(answer))
    {
        of.m_instance.clear();
    }
    bool const asks = attempt.m_outcome == state::outcome::unknown &&
                      attempt.m_request.m_kind != transport::traffic_kind::read;
    if (asks)
    {
        after(first_backoff, [this, &of] { ask(of); });
        return;
    }
    settle(of, answer.m_retry_after);
}

void load_driver::ask(session& of)
{
    auto const context = choose_instance(of);
    if (context.m_address.empty())
    {
        if (give_up())
        {
            settle(of, state::duration{0});
            return;
        }
        after(no_instance_wait, [this, &of] { ask(of); });
        return;
    }
    m_client.ask_outcome(context, *of.m_active,
                         back_to(of, &load_driver::on_outcome));
}

void load_driver::on_outcome(session& of, call_answer const& answer)
{
    auto& attempt = *of.m_active;
    if (answer.m_outcome == state::outcome::unknown)
    {
        if (give_up())
        {
            settle(of, state::duration{0});
            return;
        }
        of.m_instance.clear();
        after(between_questions, [this, &of] { ask(of); });
        return;
    }
    attempt.m_answered = now();
    attempt.m_outcome = answer.m_outcome;
    attempt.m_reason = answer.m_reason;
    attempt.m_result = answer.m_result;
    take_token(of, answer.m_token);
    settle(of, state::duration{0});
}

void load_driver::settle(session& of, state::duration retry_after)
{
    auto& attempt = *of.m_active;
    bool const executed = attempt.m_outcome == state::outcome::executed;
    ++(executed || is_rolled_back(attempt) ? m_executed : m_failed);
    bool const unknown_write =
        attempt.m_outcome == state::outcome::unknown &&
        attempt.m_request.m_kind != transport::traffic_kind::read;
    bool const again = !executed && !unknown_write && !give_up() &&
                       !is_rolled_back(attempt) &&
                       may_be_repeated(attempt.m_reason) &&
                       attempt.m_attempt < m_options.m_most_attempts;
    attempt.m_last = !again;
    m_history.push_back(attempt);
    if (!again)
    {
        --m_open;
        of.m_active.reset();
        start_next(of);
        return;
    }
    request_record next;
    next.m_request = attempt.m_request;
    next.m_attempt = attempt.m_attempt + 1;
    run_time const wait =
        std::min(most_retry_wait,
                 std::max<run_time>(retry_after, backoff(attempt.m_attempt)));
    of.m_active = std::move(next);
    after(wait, [this, &of] { send(of); });
}

void load_driver::take_token(session& of, std::string const& token)
{
    if (token.empty())
    {
        return;
    }
    of.m_token = token;
    auto& attempt = *of.m_active;
    of.m_groups.insert(attempt.m_request.m_group);
    attempt.m_token_received = position_in(token, attempt.m_request.m_group);
}

call_context load_driver::choose_instance(session& of)
{
    auto const offered = m_instances();
    auto found =
        std::ranges::find(offered, of.m_instance, &caller_address::m_instance);
    if (found == offered.end() && !offered.empty())
    {
        auto const place = m_random() % offered.size();
        found = offered.begin() + static_cast<std::ptrdiff_t>(place);
    }
    if (found == offered.end())
    {
        return {};
    }
    of.m_instance = found->m_instance;
    return {found->m_address, m_credentials[of.m_active->m_request.m_owner],
            of.m_token};
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

bool load_driver::give_up() const
{
    return now() > m_options.m_duration + most_after_end;
}

void load_driver::finish_if_over()
{
    if (m_next || m_open > 0)
    {
        return;
    }
    std::scoped_lock const lock(m_mutex);
    m_over = true;
    m_changed.notify_all();
}

} // namespace camphortide::load
