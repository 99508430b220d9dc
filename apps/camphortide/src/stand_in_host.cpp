#include "stand_in_host.hpp"

#include <string>
#include <thread>
#include <utility>

#include <camphortide/standin/deployment/running_deployment.hpp>

namespace camphortide::command_line
{

exit_code serve_stand_ins(transport::deployment value, load::run_time duration,
                          console const& output)
{
    value.m_instances.clear();
    standin::running_deployment const running(std::move(value), std::string());
    if (running.platform_address().empty())
    {
        output.m_error << "camphortide: the stand-ins did not start\n";
        return exit_code::refused;
    }
    output.m_out << "platform " << running.platform_address() << std::endl;
    std::this_thread::sleep_for(duration);
    return exit_code::done;
}

} // namespace camphortide::command_line
