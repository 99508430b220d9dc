#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <camphortide/transport/logging/log_record.hpp>

namespace camphortide::load
{

/// What became of a request that its caller lost something by.
enum class loss_kind
{
    refused, ///< not run, by a promise
    failed,  ///< unknown whether it ran, or run in vain
    late     ///< answered after the target latency of its route
};

/// @return the name that is printed
std::string_view to_string(loss_kind kind);

/// Requests that were lost for the same reason at the same time.
struct loss_key
{
    std::int64_t m_second = 0; ///< since the start of 1970
    std::string m_group;
    std::string m_route; ///< the class of requests
    loss_kind m_kind = loss_kind::refused;
    std::string m_cause;
    std::string m_instance; ///< that logged the end: the home, if it was sent
    std::string m_member;   ///< that answered; empty: none

    friend auto operator<=>(loss_key const&, loss_key const&) = default;
};

/// What is known of the requests of one key.
struct loss_count
{
    std::uint64_t m_requests = 0;
    /// Lines of the same message that the instance held back before these.
    std::uint64_t m_held_back = 0;
    std::int64_t m_waited_ms = 0;     ///< until the last sending, sum
    std::int64_t m_max_waited_ms = 0; ///< until the last sending
    /// Greatest age of the permit that the request was decided by.
    std::int64_t m_max_permit_age_ms = 0;
    /// Requests that another instance had sent before, by instance.
    std::map<std::string, std::uint64_t> m_entries;

    /// Adds the requests of another key.
    void add(loss_count const& other);
};

/// Collects the losses from the log lines of all instances. The memory is
/// bounded, whatever the number of lines.
class loss_report
{
public:
    /// @param max_keys above this number, further losses are counted without
    ///     their instance and member
    /// @param max_requests number of requests that were sent again whose lines
    ///     are joined: the latest ones
    explicit loss_report(std::size_t max_keys = 200000,
                         std::size_t max_requests = 200000);

    /// Reads one line.
    /// @param line without its end
    /// @param instance its name if the line doesn't state it
    void read(std::string_view line, std::string const& instance);

    /// A number of losses that belong together.
    using row = std::pair<loss_key, loss_count>;

    /// @return the losses by second, group, class, kind and cause over all
    ///     instances and members; those with most requests first
    std::vector<row> spans() const;

    /// @return the losses by all parts of the key, in its order
    std::map<loss_key, loss_count> const& details() const { return m_losses; }

    std::uint64_t lines() const { return m_lines; }
    /// @return number of lines that aren't log lines of an instance
    std::uint64_t unknown_lines() const { return m_unknown_lines; }
    /// @return the first of these, shortened; empty: none
    std::string const& first_unknown_line() const { return m_first_unknown; }
    /// @return requests that were answered in time
    std::uint64_t answered() const { return m_answered; }
    /// @return lines about requests' ends that instances held back
    std::uint64_t held_back() const { return m_held_back; }
    /// @return true if some losses were counted without instance and member
    bool condensed() const { return m_condensed; }

private:
    void add_end(transport::log_record const& record,
                 std::string const& instance);
    void add_sent_again(transport::log_record const& record,
                        std::string const& instance);

    std::size_t m_max_keys;
    std::size_t m_max_requests;
    std::map<loss_key, loss_count> m_losses;
    /// The instance that sent a request again, by the request's id.
    std::unordered_map<std::string, std::string> m_sent_again;
    std::deque<std::string> m_sent_order; ///< the oldest first
    std::uint64_t m_lines = 0;
    std::uint64_t m_unknown_lines = 0;
    std::string m_first_unknown;
    std::uint64_t m_answered = 0;
    std::uint64_t m_held_back = 0;
    bool m_condensed = false;
};

} // namespace camphortide::load
