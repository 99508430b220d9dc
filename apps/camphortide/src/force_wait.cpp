#include "force_wait.hpp"

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

/// @return true if an instance takes no requests, whatever it holds
bool is_out(admin::v1::InstanceState state)
{
    return state == admin::v1::INSTANCE_STATE_LEAVING ||
           state == admin::v1::INSTANCE_STATE_GONE;
}

/// Which instances have a version in force, as some instances tell.
class force_report
{
public:
    explicit force_report(std::uint64_t version) : m_version(version) {}

    /// Takes a status and prints the instances that are new in force.
    void take(admin::v1::StatusReply const& status, console const& to)
    {
        for (auto const& each : status.instances())
        {
            if (each.catalogue_version() >= m_version)
            {
                m_missing.erase(each.name());
                if (m_told.insert(each.name()).second)
                {
                    to.m_out << "version " << m_version << " in force at "
                             << each.name() << std::endl;
                }
            }
            else if (is_out(each.state()))
            {
                m_missing.erase(each.name());
            }
            else if (m_told.count(each.name()) == 0)
            {
                m_missing.insert(each.name());
            }
        }
    }

    bool complete() const { return m_missing.empty() && !m_told.empty(); }
    std::set<std::string> const& missing() const { return m_missing; }

private:
    std::uint64_t m_version;
    std::set<std::string> m_told;
    std::set<std::string> m_missing;
};

} // namespace

exit_code wait_until_in_force(std::vector<admin_place> const& places,
                              std::uint64_t version, state::duration timeout,
                              console const& to)
{
    force_report report(version);
    auto const end = state::clock::now() + timeout;
    do
    {
        for (auto const& place : places)
        {
            auto const status = fetch_status(place, call_timeout);
            if (status.ok())
            {
                report.take(*status, to);
            }
        }
        if (report.complete())
        {
            return exit_code::done;
        }
        std::this_thread::sleep_for(poll_interval);
    } while (state::clock::now() < end);
    to.m_error << "camphortide: version " << version
               << " is not known to be in force everywhere\n";
    for (auto const& name : report.missing())
    {
        to.m_error << "  not known at " << name << '\n';
    }
    return exit_code::refused;
}

} // namespace camphortide::command_line
