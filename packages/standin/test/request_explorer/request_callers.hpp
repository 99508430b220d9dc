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

/// What callers are promised.
enum class request_promise
{
    none,
    nothing_lost,
    at_most_once,
    not_executed,
    reads_stay,
    session,
    age
};

/// Callers that write with keys, ask about keys and read in sessions, at any
/// home; and the check of what they are told.
class request_callers final : public request_listener
{
public:
    explicit request_callers(request_world& world);

    void write(request_home& home);
    void read(request_home& home);
    /// Asks about a key whose outcome is not known, or sends it again.
    void ask(request_home& home);
    /// A home has died: what it was asked stays unknown.
    void home_lost(request_home const& home);

    void write_ended(std::uint64_t request,
                     coordination::request_result const& result) override;
    void read_released(std::uint64_t request,
                       state::log_position const& position,
                       std::optional<state::duration> age) override;
    void read_refused(std::uint64_t request) override;

    /// Checks what was told against the log of the healed group.
    void finish(std::deque<record> const& log);

    /// @return the first broken promise
    request_promise broken() const { return m_broken; }
    std::size_t acknowledged() const { return m_acknowledged.size(); }
    std::size_t denied() const { return m_denied.size(); }
    std::size_t released() const { return m_released.size(); }

private:
    static constexpr std::size_t sessions = 6;

    struct write_call
    {
        std::string m_key;
        std::size_t m_session = 0;
        bool m_first = true; ///< no earlier attempt may run
        request_home const* m_home = nullptr;
    };

    struct read_call
    {
        std::size_t m_session = 0;
        std::uint64_t m_floor = 0;
        std::optional<state::duration> m_max_age;
    };

    struct acknowledgement
    {
        std::string m_key;
        state::log_position m_position;
        state::time_point m_told;
    };

    void note(request_promise value);
    void raise(std::size_t session, state::log_position const& position);
    void check_age(state::log_position const& position, state::duration age);
    coordination::deadline end() const;

    request_world& m_world;
    std::uint64_t m_last = 0;
    std::vector<state::session_token> m_tokens{sessions};
    std::vector<std::uint64_t> m_floors = std::vector<std::uint64_t>(sessions);
    std::map<std::uint64_t, write_call> m_writes;
    std::map<std::uint64_t, read_call> m_reads;
    std::vector<write_call> m_unknown;
    std::vector<acknowledgement> m_acknowledged;
    std::vector<std::string> m_denied;
    std::vector<state::log_position> m_released;
    request_promise m_broken = request_promise::none;
};

} // namespace camphortide::standin
