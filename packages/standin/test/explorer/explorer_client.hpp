#pragma once

#include "explorer_home.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace camphortide::standin
{

/// Callers that write with keys, ask what became of a key, and read in
/// sessions, through the homes of a group.
class explorer_client
{
public:
    using homes = std::vector<std::unique_ptr<explorer_home>>;

    explorer_client(group_world& world, homes& through);

    void start_write();
    void start_read();
    /// Stops waiting for a random request; it is unknown from then on.
    void give_up();
    /// Stops waiting for all requests.
    void give_up_all();
    /// Asks at a random home what became of an unknown request.
    void resolve();
    /// Ends the requests at a home whose records are safe.
    void poll(std::size_t home);
    /// A home was lost; its requests are unknown.
    void home_lost(std::size_t home);
    /// @return true if a request has no definite answer
    bool is_open() const;

    std::size_t m_write_percent = 100; ///< of the writes that may start
    std::size_t m_readers = 0; ///< the last homes, which no write comes to

private:
    enum class stage
    {
        sent,
        written,
        unknown,
        ended
    };
    struct request
    {
        std::string m_key;
        std::size_t m_session = 0;
        std::size_t m_home = 0;
        stage m_stage = stage::sent;
        std::uint64_t m_attempt = 0;
        bool m_uncertain = false; ///< an earlier attempt may have run
        bool m_barrier = false;
        state::term m_term;
        state::log_position m_position;
    };

    void attempt(std::size_t index, bool resolve);
    void answered(std::size_t index, std::uint64_t attempt, state::term term,
                  statement_answer const& answer);
    void lose(request& value);
    void end(request& value);
    void read_answered(std::size_t home, std::size_t session,
                       std::uint64_t required, statement_answer const& answer);
    bool may_release(explorer_home const& home,
                     state::log_position position) const;

    static constexpr std::size_t sessions = 3;

    group_world& m_world;
    homes& m_homes;
    std::vector<request> m_requests;
    std::vector<std::uint64_t> m_tokens;
};

} // namespace camphortide::standin
