// Measures the cost of monitoring groups for an instance: probes sent, CPU time
// and memory, by number of groups and read rate.
//
//     observation_cost [GROUPS...]
//
// The stand-ins of the members run in the same process, so CPU time and memory
// include them.

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <grpcpp/grpcpp.h>
#include <sys/resource.h>
#include <unistd.h>

#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/v1/access.grpc.pb.h>

namespace standin = camphortide::standin;
namespace transport = camphortide::transport;
namespace v1 = camphortide::v1;

namespace
{

constexpr std::chrono::seconds warm_up_time{3};
constexpr std::chrono::seconds measured_time{10};
constexpr double reads_per_group[] = {0, 2, 20, 165}; ///< reads per second

transport::deployment deployment_with_groups(std::size_t count)
{
    transport::deployment result;
    result.m_name = "observation";
    result.m_region = "local";
    result.m_data_centres = {"one"};
    result.m_latency_between = std::chrono::microseconds(0);
    result.m_instances = {{"entry-1", "one"}};
    result.m_customers = {{"desks", "secret"}};
    for (std::size_t i = 0; i < count; ++i)
    {
        transport::deployment_group group;
        group.m_name = "loans-" + std::to_string(i);
        group.m_members = {{"a", "one"}, {"b", "one"}, {"c", "one"}};
        group.m_statement_time = std::chrono::microseconds(0);
        result.m_groups.push_back(group);
        transport::deployment_entry entry;
        entry.m_name = "checkouts-" + std::to_string(i);
        entry.m_customer = "desks";
        entry.m_class_name = "checkouts";
        entry.m_groups = {group.m_name};
        entry.m_limits.m_rate = 100000;
        entry.m_limits.m_age = std::chrono::seconds(1);
        result.m_entries.push_back(entry);
    }
    return result;
}

double cpu_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    auto const seconds = [](timeval const& value)
    {
        return static_cast<double>(value.tv_sec) +
               static_cast<double>(value.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double resident_kilobytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

std::uint64_t probe_count(standin::running_deployment& running)
{
    std::uint64_t sum = 0;
    for (auto const& group : running.description().m_groups)
    {
        for (auto const& member : group.m_members)
        {
            sum += running.group(group.m_name).probes(member.m_name);
        }
    }
    return sum;
}

/// Open-loop load: reads from all groups in turn at a fixed rate.
class reader
{
public:
    reader(std::string const& address, std::size_t groups, double rate)
        : m_stub(v1::Access::NewStub(grpc::CreateChannel(
              address, grpc::InsecureChannelCredentials()))),
          m_thread([this, groups, rate] { run(groups, rate); })
    {
    }

    ~reader()
    {
        m_stopped = true;
        m_thread.join();
        while (m_in_flight > 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    reader(reader const&) = delete;
    reader& operator=(reader const&) = delete;

    std::uint64_t failed() const { return m_failed; }

private:
    struct call
    {
        grpc::ClientContext m_context;
        v1::Request m_request;
        v1::Reply m_reply;
    };

    void run(std::size_t groups, double rate)
    {
        if (rate <= 0)
        {
            return;
        }
        std::chrono::duration<double> const interval(
            1 / (rate * static_cast<double>(groups)));
        auto const start = std::chrono::steady_clock::now();
        for (std::size_t number = 0; !m_stopped; ++number)
        {
            std::this_thread::sleep_until(
                start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                            interval * static_cast<double>(number)));
            send(number % groups);
        }
    }

    void send(std::size_t group)
    {
        auto const pending = std::make_shared<call>();
        pending->m_context.AddMetadata("authorization", "Bearer secret");
        pending->m_request.set_entry("checkouts-" + std::to_string(group));
        pending->m_request.set_statement("get toy");
        ++m_in_flight;
        m_stub->async()->Read(&pending->m_context, &pending->m_request,
                              &pending->m_reply,
                              [this, pending](grpc::Status const& status)
                              {
                                  m_failed += status.ok() ? 0 : 1;
                                  --m_in_flight;
                              });
    }

    std::unique_ptr<v1::Access::Stub> m_stub;
    std::atomic<bool> m_stopped{false};
    std::atomic<std::uint64_t> m_in_flight{0};
    std::atomic<std::uint64_t> m_failed{0};
    std::thread m_thread;
};

void measure(standin::running_deployment& running, std::size_t groups,
             double rate)
{
    reader const load(running.caller_address("entry-1"), groups, rate);
    std::this_thread::sleep_for(warm_up_time);
    auto const probes_before = probe_count(running);
    auto const cpu_before = cpu_seconds();
    std::this_thread::sleep_for(measured_time);
    auto const seconds =
        static_cast<double>(std::chrono::seconds(measured_time).count());
    auto const members = static_cast<double>(3 * groups);
    std::cout << groups << " groups, " << rate << " reads/s each: "
              << static_cast<double>(probe_count(running) - probes_before) /
                     seconds / members
              << " probes/s a member, "
              << 100 * (cpu_seconds() - cpu_before) / seconds
              << " % of a core, " << resident_kilobytes() << " KB resident, "
              << load.failed() << " failed" << std::endl;
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argument_count; ++i)
    {
        sizes.push_back(std::stoul(arguments[i]));
    }
    if (sizes.empty())
    {
        sizes = {1, 4, 11, 32};
    }
    std::string const token_key(64, '7');
    for (auto const groups : sizes)
    {
        standin::running_deployment running(deployment_with_groups(groups),
                                            token_key);
        if (!running.wait_ready(std::chrono::seconds(30)))
        {
            std::cout << groups << " groups did not become ready" << std::endl;
            return 1;
        }
        for (auto const rate : reads_per_group)
        {
            measure(running, groups, rate);
        }
    }
    return 0;
}
