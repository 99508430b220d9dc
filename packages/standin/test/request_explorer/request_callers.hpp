#pragma once

#include "request_home.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/state/session_token.hpp>

namespace camphortide::standin
{

/// The guarantees to callers that the schedules check.
enum class request_guarantee
{
    none,
    no_lost_writes,   ///< an acknowledged write is in the final log
    at_most_once,     ///< a key is executed at most once
    not_executed,     ///< a write reported as not executed never is
    stable_reads,     ///< the records of a released read are in the final log
    read_your_writes, ///< a session never reads a lower position
    age               ///< a read is not older than requested and reported
};

/// Simulates callers that write with keys, query the outcome of keys and read
/// in sessions, at any home. Checks the results that they get.
class request_callers final : public request_listener
{
public:
    explicit request_callers(request_simulation& simulation);

    void start_write(request_home& home);
    void start_read(request_home& home);
    /// Queries a key with an unknown outcome, or sends its write again.
    void query_or_resend(request_home& home);
    /// Handles the loss of a home: the outcome of its writes is unknown.
    void home_lost(request_home const& home);

    void write_ended(std::uint64_t request,
                     coordination::request_result const& result) override;
    void read_released(std::uint64_t request,
                       state::log_position const& position,
                       std::optional<state::duration> age) override;
    void read_refused(std::uint64_t request) override;

    /// Checks the results against the log of the healed group.
    void finish(std::deque<record> const& log);

    /// @return the guarantee that was violated first
    request_guarantee violation() const { return m_violation; }
    std::size_t acknowledged_writes() const { return m_acknowledged.size(); }
    std::size_t not_executed_writes() const { return m_not_executed.size(); }
    std::size_t released_reads() const { return m_released.size(); }

private:
    static constexpr std::size_t sessions = 6;

    struct write_call
    {
        std::string m_key;
        std::size_t m_session = 0;
        bool m_first_attempt = true; ///< no earlier attempt may be executed
        request_home const* m_home = nullptr;
    };

    struct read_call
    {
        std::size_t m_session = 0;
        std::uint64_t m_min_index = 0;
        std::optional<state::duration> m_max_age;
    };

    struct acknowledged_write
    {
        std::string m_key;
        state::log_position m_position;
        state::time_point m_acknowledged_at;
    };

    void note_violation(request_guarantee value);
    void advance_session(std::size_t session,
                         state::log_position const& position);
    void check_age(state::log_position const& position, state::duration age);
    coordination::deadline make_deadline() const;

    request_simulation& m_simulation;
    std::uint64_t m_last_request = 0;
    std::vector<state::session_token> m_tokens{sessions};
    std::vector<std::uint64_t> m_min_indexes =
        std::vector<std::uint64_t>(sessions);
    std::map<std::uint64_t, write_call> m_writes;
    std::map<std::uint64_t, read_call> m_reads;
    std::vector<write_call> m_unknown;
    std::vector<acknowledged_write> m_acknowledged;
    std::vector<std::string> m_not_executed;
    std::vector<state::log_position> m_released;
    request_guarantee m_violation = request_guarantee::none;
};

} // namespace camphortide::standin
