// Compares two homes per group with every instance as a home, without caller
// traffic: store calls per second and open connections, in steady state and
// after an instance was killed. Runs the deployment of a file on loopback.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <thread>

#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace standin = camphortide::standin;
namespace transport = camphortide::transport;

namespace
{

constexpr std::chrono::seconds ready_timeout{20};
constexpr std::chrono::seconds settling_time{8};
constexpr std::chrono::seconds measured_time{20};
constexpr std::size_t token_key_digits = 64;

double per_second(std::uint64_t before, std::uint64_t after)
{
    return static_cast<double>(after - before) /
           static_cast<double>(measured_time.count());
}

void measure(standin::running_deployment& running, char const* name)
{
    auto const before = running.platform().counts();
    std::this_thread::sleep_for(measured_time);
    auto const after = running.platform().counts();
    std::size_t open = 0;
    std::size_t max_open = 0;
    std::uint64_t refused = 0;
    for (auto const& group : running.description().m_groups)
    {
        for (auto const& member : group.m_members)
        {
            auto const counts =
                running.group(group.m_name).connections(member.m_name);
            open = std::max(open, counts.m_open);
            max_open = std::max(max_open, counts.m_max_open);
            refused += counts.m_refused;
        }
    }
    std::printf("%-18s gets/s %5.2f  puts/s %5.2f  lists of instances/s %5.2f"
                "  open at one member %zu, most %zu  refused %llu\n",
                name, per_second(before.m_gets, after.m_gets),
                per_second(before.m_puts, after.m_puts),
                per_second(before.m_instance_lists, after.m_instance_lists),
                open, max_open, static_cast<unsigned long long>(refused));
}

bool run(transport::deployment value, std::optional<std::uint32_t> homes)
{
    value.m_homes_per_group = homes;
    standin::running_deployment running(value,
                                        std::string(token_key_digits, 'a'));
    if (!running.wait_ready(ready_timeout))
    {
        return false;
    }
    std::this_thread::sleep_for(settling_time);
    std::printf("%s, homes %s\n", value.m_name.c_str(),
                homes ? std::to_string(*homes).c_str() : "all");
    measure(running, "quiet");
    running.kill_instance(running.running().front());
    measure(running, "an instance killed");
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        std::fprintf(stderr, "usage: home_count DEPLOYMENT_FILE\n");
        return EXIT_FAILURE;
    }
    auto const file = transport::read_deployment_file(argv[1]);
    if (!file.ok())
    {
        std::fprintf(stderr, "invalid deployment file\n");
        return EXIT_FAILURE;
    }
    bool const succeeded =
        run(file.m_value, 2) && run(file.m_value, std::nullopt);
    return succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
}
