#pragma once

#include "group_world.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/group/group_monitor.hpp>

namespace camphortide::standin
{

/// An instance that is home for the group: its monitor, its messages to the
/// members and its age samples.
class explorer_home
{
public:
    /// A statement for a member.
    using statement = std::function<statement_answer(member_model&)>;
    using answer = std::function<void(statement_answer const&)>;

    explorer_home(group_world& world, std::size_t index);

    void tick();
    /// Ends the process and starts another one in its place.
    void restart();
    void request_switchover();
    void drain();

    /// Sends a statement; the reply, if it arrives, carries a status too.
    void run_statement(std::size_t member, char const* name, statement run,
                       answer replied);

    /// @return whether a record is safe in a term by what this home knows
    bool is_safe(state::term term, std::uint64_t index) const;

    /// @return the latest time at which all that was acknowledged before lay
    ///     at or below an index
    std::optional<state::time_point> fresh_from(std::uint64_t index) const;

    coordination::group_monitor const& monitor() const { return *m_monitor; }
    std::size_t index() const { return m_index; }
    bool writes_paused() const { return m_writes_paused; }

private:
    struct age_sample
    {
        std::uint64_t m_probe = 0;
        state::time_point m_sent;
        state::term m_term;
        std::optional<std::uint64_t> m_primary_index;
        std::vector<state::term> m_granted; ///< by member; term 0: no answer
    };

    void apply(coordination::group_actions const& actions);
    void act(coordination::send_probe const& action);
    void act(coordination::send_fence const& action);
    void act(coordination::send_promote const& action);
    void act(coordination::send_follow const& action);
    void act(coordination::pause_writes const&);
    void act(coordination::resume_writes const&);
    void act(coordination::primary_changed const&) {}
    void act(coordination::switchover_ended const&) {}
    void request(std::size_t member, char const* name,
                 std::function<void()> work, bool may_repeat = true);
    void reply(std::size_t member, char const* name,
               std::function<coordination::group_actions()> work,
               bool may_repeat = true);
    void note_answer(std::size_t member, state::member_status const& status);
    bool is_confirmed(age_sample const& sample) const;
    party self() const { return {party::kind::home, m_index}; }

    static constexpr std::size_t samples = 8;

    group_world& m_world;
    std::size_t m_index;
    std::uint64_t m_generation = 0;
    std::uint64_t m_asking_generation = 0; ///< of the request being answered
    std::optional<coordination::group_monitor> m_monitor;
    bool m_writes_paused = false;
    std::array<age_sample, samples> m_samples;
};

} // namespace camphortide::standin
