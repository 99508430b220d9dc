#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <camphortide/load/driver/caller_client.hpp>
#include <camphortide/load/driver/request_source.hpp>
#include <camphortide/protocol/token_codec.hpp>
#include <camphortide/standin/group/timer_queue.hpp>

namespace camphortide::load
{

/// Options of the callers.
struct driver_options
{
    run_time m_duration{0}; ///< time in which requests arrive
    std::uint64_t m_seed = 1;
    std::string m_run = "1"; ///< makes rows and keys unique across runs
    std::uint32_t m_max_attempts = 8;
    /// Key in hexadecimal that decodes session tokens for the history. Empty:
    /// tokens are not decoded.
    std::string m_token_key;
};

/// Counts since the start of a run.
struct driver_progress
{
    std::uint64_t m_arrived = 0;
    std::uint64_t m_executed = 0;
    std::uint64_t m_failed = 0; ///< attempts not executed or of unknown outcome

    friend auto operator<=>(driver_progress const&,
                            driver_progress const&) = default;
};

/// Generates a deployment's traffic as an open loop: requests arrive at their
/// intended times, whether or not earlier ones have been answered. Each session
/// sends one request at a time with its latest token, repeats a request that
/// was not executed, and queries the outcome of a write that is unknown.
class load_driver
{
public:
    /// Returns the instances that a load balancer would offer now.
    using instance_provider = std::function<std::vector<caller_address>()>;

    /// @param value the deployment whose traffic is sent
    /// @param instances is called on the driver's thread
    load_driver(transport::deployment const& value, instance_provider instances,
                driver_options options);
    ~load_driver();
    load_driver(load_driver const&) = delete;
    load_driver& operator=(load_driver const&) = delete;

    /// Starts the arrivals and the clock of the run.
    void start();

    /// Blocks until every request has its final outcome.
    /// @return every attempt, in the order in which they finished
    history wait();

    /// @return the time since the start; may be called from any thread
    run_time now() const;

    /// @return the counts so far; may be called from any thread
    driver_progress progress() const;

private:
    struct session_state
    {
        std::string m_instance;
        std::string m_token;
        std::set<std::string> m_groups; ///< groups that the token names
        std::deque<planned_request> m_waiting;
        std::optional<request_record> m_active;
    };

    void run_after(run_time delay, std::function<void()> run);
    void handle_arrival();
    void schedule_arrival();
    void start_next(session_state& session);
    void send(session_state& session);
    void query_outcome(session_state& session);
    void on_answer(session_state& session, call_answer const& answer);
    void on_outcome(session_state& session, call_answer const& answer);
    void finish_attempt(session_state& session, state::duration retry_after);
    void store_token(session_state& session, std::string const& token);
    call_context choose_instance(session_state& session);
    caller_client::answer_handler
    answer_to(session_state& session,
              void (load_driver::*handler)(session_state&, call_answer const&));
    std::optional<state::log_position> position_in(std::string const& token,
                                                   std::string const& group);
    bool is_past_end() const;
    void finish_if_done();

    transport::deployment const m_deployment;
    instance_provider const m_instances;
    driver_options const m_options;
    std::map<std::string, std::string> m_credentials;
    request_source m_source;
    std::mt19937_64 m_random;
    std::optional<protocol::token_codec> m_codec;
    std::chrono::steady_clock::time_point m_start;
    std::map<std::string, session_state> m_sessions;
    std::optional<planned_request> m_next;
    std::uint64_t m_open_requests = 0; ///< arrived, without a final outcome
    history m_history;
    std::atomic<std::uint64_t> m_arrived{0};
    std::atomic<std::uint64_t> m_executed{0};
    std::atomic<std::uint64_t> m_failed{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_finished = false;
    caller_client m_client;
    standin::timer_queue m_timers;
};

} // namespace camphortide::load
