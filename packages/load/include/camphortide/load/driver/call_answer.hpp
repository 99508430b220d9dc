#pragma once

#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::load
{

/// The result of one call.
struct call_answer
{
    state::outcome m_outcome = state::outcome::unknown;
    state::reason m_reason = state::reason::none;
    std::string m_result;
    std::vector<std::string> m_results; ///< of a transaction's statements
    std::string m_token;                ///< session token; empty: none
    std::string m_member;
    bool m_from_replica = false;
    bool m_replayed = false;
    bool m_from_instance = false; ///< false: the call failed without an
                                  ///< answer of the instance
    state::duration m_age{0};
    state::duration m_retry_after{0};
};

} // namespace camphortide::load
