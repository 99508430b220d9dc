#include "in_force_wait.hpp"

#include "admin_client.hpp"

#include <chrono>
#include <ostream>
#include <set>
#include <string>
#include <thread>

namespace camphortide::command_line
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{100};
constexpr state::duration call_timeout{2000};

/// @return whether an instance accepts no requests, whichever version it has
bool is_leaving_or_gone(admin::v1::InstanceState state)
{
    return state == admin::v1::INSTANCE_STATE_LEAVING ||
           state == admin::v1::INSTANCE_STATE_GONE;
}

/// Tracks at which instances a version is in force, from the status replies of
/// the polled instances.
class in_force_tracker
{
public:
    explicit in_force_tracker(std::uint64_t version) : m_version(version) {}

    /// Processes a status reply and prints the instances where the version is
    /// newly in force.
    void update(admin::v1::StatusReply const& status, console const& output)
    {
        for (auto const& each : status.instances())
        {
            if (each.catalogue_version() >= m_version)
            {
                m_missing.erase(each.name());
                if (m_reported.insert(each.name()).second)
                {
                    output.m_out << "version " << m_version << " in force at "
                                 << each.name() << std::endl;
                }
            }
            else if (is_leaving_or_gone(each.state()))
            {
                m_missing.erase(each.name());
            }
            else if (m_reported.count(each.name()) == 0)
            {
                m_missing.insert(each.name());
            }
        }
    }

    bool complete() const { return m_missing.empty() && !m_reported.empty(); }
    std::set<std::string> const& missing() const { return m_missing; }

private:
    std::uint64_t m_version;
    std::set<std::string> m_reported;
    std::set<std::string> m_missing;
};

} // namespace

exit_code wait_until_in_force(std::vector<admin_server> const& servers,
                              std::uint64_t version, state::duration timeout,
                              console const& output)
{
    in_force_tracker tracker(version);
    auto const end = state::clock::now() + timeout;
    do
    {
        for (auto const& server : servers)
        {
            auto const status = fetch_status(server, call_timeout);
            if (status.ok())
            {
                tracker.update(*status, output);
            }
        }
        if (tracker.complete())
        {
            return exit_code::done;
        }
        std::this_thread::sleep_for(poll_interval);
    } while (state::clock::now() < end);
    output.m_error << "camphortide: version " << version
                   << " is not known to be in force everywhere\n";
    for (auto const& name : tracker.missing())
    {
        output.m_error << "  not known at " << name << '\n';
    }
    return exit_code::refused;
}

} // namespace camphortide::command_line
