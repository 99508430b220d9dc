#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <camphortide/proxy/proxy_instance.hpp>
#include <camphortide/transport/instance/instance.hpp>
#include <camphortide/transport/logging/log.hpp>
#include <camphortide/transport/settings/settings_arguments.hpp>
#include <camphortide/transport/settings/settings_file.hpp>

namespace transport = camphortide::transport;

namespace
{

constexpr int exit_done = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr std::chrono::milliseconds signal_poll{20};

std::atomic<int> terminations{0};
static_assert(std::atomic<int>::is_always_lock_free);

extern "C" void on_termination(int)
{
    if (++terminations > 1)
    {
        std::_Exit(exit_refused);
    }
}

void print_errors(std::vector<transport::setting_error> const& errors)
{
    for (auto const& error : errors)
    {
        std::cerr << transport::to_string(error) << '\n';
    }
}

int run(transport::instance_settings const& settings)
{
    transport::start_logging("camphortided", settings.m_log_directory,
                             settings.m_log_level);
    auto started = transport::instance::start(settings);
    if (!started.ok())
    {
        std::cerr << "camphortided: " << started.status().message() << '\n';
        return exit_refused;
    }
    auto& running = **started;
    std::signal(SIGTERM, on_termination);
    std::signal(SIGINT, on_termination);
    while (terminations == 0 && !running.drain_requested())
    {
        std::this_thread::sleep_for(signal_poll);
    }
    return running.drain() ? exit_done : exit_refused;
}

/// Runs as an instance on the platform. An environment variable names the
/// settings file.
int run_on_platform()
{
    transport::start_logging_to_output("camphortided",
                                       transport::log_level::info);
    auto const* const path =
        std::getenv(camphortide::platform::settings_path_variable);
    std::string error;
    auto const settings = path == nullptr
                              ? std::nullopt
                              : camphortide::proxy::read_settings(path, error);
    if (!settings)
    {
        std::cerr << "camphortided: "
                  << (path == nullptr
                          ? std::string(
                                camphortide::platform::settings_path_variable) +
                                " is not set"
                          : error)
                  << '\n';
        return exit_usage;
    }
    camphortide::proxy::proxy_instance instance(*settings, path);
    return instance.run() ? exit_done : exit_refused;
}

} // namespace

int main(int count, char** values)
{
    if (count == 2 && std::string_view(values[1]) == "platform")
    {
        return run_on_platform();
    }
    auto const arguments = transport::parse_settings_arguments(
        std::vector<std::string>(values + 1, values + count));
    if (arguments.m_help)
    {
        std::cout << transport::settings_arguments_help();
        return exit_done;
    }
    if (arguments.m_version)
    {
        std::cout << "camphortided " << CAMPHORTIDE_VERSION << '\n';
        return exit_done;
    }
    if (!arguments.m_errors.empty())
    {
        print_errors(arguments.m_errors);
        return exit_usage;
    }
    auto const settings = transport::read_instance_settings(
        arguments.m_settings_path, arguments.m_overrides);
    if (!settings.ok())
    {
        print_errors(settings.m_errors);
        return exit_usage;
    }
    return run(settings.m_value);
}
