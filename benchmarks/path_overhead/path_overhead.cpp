// Measures the latency that an instance adds to a direct call to a member, the
// throughput of one instance, and the memory of an idle caller connection.
//
//     path_overhead latency            compares direct calls with calls
//                                      through an instance
//     path_overhead members SECONDS    runs the platform and members only
//     path_overhead callers DIRECT THROUGH   like latency, with servers in
//                                      other processes: addresses of a member
//                                      and an instance
//     path_overhead throughput         closed loop through one instance
//     path_overhead serve SECONDS      runs an instance and prints its memory
//     path_overhead idle ADDRESS N S   holds N idle connections for S seconds

#include "latency_series.hpp"

#include <atomic>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <grpcpp/grpcpp.h>
#include <unistd.h>

#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/standin/deployment/small_deployment_builder.hpp>
#include <camphortide/transport/gateway/member_client.hpp>
#include <camphortide/v1/access.grpc.pb.h>

namespace benchmarks = camphortide::benchmarks;
namespace endpoint = camphortide::endpoint;
namespace standin = camphortide::standin;
namespace transport = camphortide::transport;
namespace v1 = camphortide::v1;

namespace
{

constexpr double statements_per_second = 600;
constexpr std::size_t statement_count = 6000;
constexpr std::size_t connection_count = 8;
constexpr std::size_t caller_count = 64;
constexpr std::chrono::seconds throughput_time{5};
constexpr int round_count = 5;
std::string const token_key(64, 'a');

standin::small_deployment_builder one_instance_deployment()
{
    camphortide::state::entry_limits limits;
    limits.m_rate = 1000000;
    limits.m_concurrency = 1000;
    limits.m_queue_length = 10000;
    limits.m_age = std::chrono::seconds(10);
    return standin::small_deployment_builder()
        .members(16, 55)
        .receive_lag(std::chrono::microseconds(0))
        .limits(limits);
}

/// State of a unary call, kept alive until its reply.
struct unary_read
{
    grpc::ClientContext m_context;
    v1::Request m_request;
    v1::Reply m_reply;
};

void read_through(v1::Access::Stub& stub, std::function<void(bool)> const& done)
{
    auto const call = std::make_shared<unary_read>();
    call->m_context.AddMetadata("authorization", "Bearer secret");
    call->m_request.set_entry("checkouts");
    call->m_request.set_statement("get toy");
    stub.async()->Read(&call->m_context, &call->m_request, &call->m_reply,
                       [call, done](grpc::Status const& status)
                       { done(status.ok()); });
}

/// Reads from a member over a fixed set of connections, used in turn with one
/// statement at a time on each.
class direct_caller
{
public:
    explicit direct_caller(std::string const& address)
        : m_client(address, grpc::InsecureChannelCredentials())
    {
        for (std::size_t i = 0; i < connection_count; ++i)
        {
            m_streams.push_back(m_client.connect(
                [this, i](endpoint::v1::StatementReply const& reply)
                { on_reply(i, reply); },
                [](grpc::Status const&) {}));
        }
        while (m_opened < connection_count)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    ~direct_caller()
    {
        for (auto const& stream : m_streams)
        {
            stream->close();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }

    void read(std::size_t number, benchmarks::latency_series::time_point start,
              benchmarks::latency_series& series)
    {
        m_series = &series;
        auto const index = number % connection_count;
        m_starts[index] = start;
        endpoint::v1::Statement statement;
        statement.set_request(number + 1);
        statement.set_kind(endpoint::v1::STATEMENT_KIND_READ);
        statement.set_text("get toy");
        m_streams[index]->send(statement);
    }

private:
    void on_reply(std::size_t index, endpoint::v1::StatementReply const& reply)
    {
        if (reply.code() == endpoint::v1::STATEMENT_CODE_OPENED)
        {
            ++m_opened;
            return;
        }
        m_series.load()->record(
            m_starts[index], reply.code() == endpoint::v1::STATEMENT_CODE_OK);
    }

    transport::member_client m_client;
    std::vector<std::shared_ptr<transport::member_connection>> m_streams;
    std::atomic<std::size_t> m_opened{0};
    benchmarks::latency_series::time_point m_starts[connection_count];
    std::atomic<benchmarks::latency_series*> m_series{nullptr};
};

std::unique_ptr<v1::Access::Stub> connect(std::string const& address,
                                          int number)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt("camphortide.number", number);
    return v1::Access::NewStub(grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments));
}

int measure_latency(std::string const& member, std::string const& instance)
{
    direct_caller direct(member);
    auto const stub = connect(instance, 0);
    for (int round = 0; round < round_count; ++round)
    {
        benchmarks::latency_series direct_series;
        benchmarks::run_open_loop(statements_per_second, statement_count,
                                  [&](std::size_t number, auto start) {
                                      direct.read(number, start, direct_series);
                                  });
        direct_series.wait_for(statement_count);
        benchmarks::latency_series through_series;
        benchmarks::run_open_loop(
            statements_per_second, statement_count,
            [&](std::size_t, auto start)
            {
                read_through(*stub, [&through_series, start](bool ok)
                             { through_series.record(start, ok); });
            });
        through_series.wait_for(statement_count);
        std::cout << "round " << round << "\n  direct  "
                  << direct_series.summary() << "\n  through "
                  << through_series.summary() << std::endl;
    }
    return 0;
}

/// Repeats reads until stopped.
class repeating_caller
{
public:
    repeating_caller(v1::Access::Stub& stub, std::atomic<bool>& stopped,
                     std::atomic<std::size_t>& done,
                     std::atomic<std::size_t>& active_callers)
        : m_stub(stub),
          m_stopped(stopped),
          m_done(done),
          m_active_callers(active_callers)
    {
    }

    void next()
    {
        read_through(m_stub,
                     [this](bool ok)
                     {
                         m_done += ok ? 1 : 0;
                         if (m_stopped)
                         {
                             --m_active_callers;
                             return;
                         }
                         next();
                     });
    }

private:
    v1::Access::Stub& m_stub;
    std::atomic<bool>& m_stopped;
    std::atomic<std::size_t>& m_done;
    std::atomic<std::size_t>& m_active_callers;
};

int measure_throughput(standin::running_deployment& running)
{
    std::vector<std::unique_ptr<v1::Access::Stub>> stubs;
    stubs.reserve(connection_count);
    for (int i = 0; i < static_cast<int>(connection_count); ++i)
    {
        stubs.push_back(connect(running.caller_address("entry-1"), i));
    }
    for (int round = 0; round < round_count; ++round)
    {
        std::atomic<bool> stopped{false};
        std::atomic<std::size_t> done{0};
        std::atomic<std::size_t> active_callers{caller_count};
        std::vector<std::unique_ptr<repeating_caller>> all;
        all.reserve(caller_count);
        for (std::size_t i = 0; i < caller_count; ++i)
        {
            all.push_back(std::make_unique<repeating_caller>(
                *stubs[i % connection_count], stopped, done, active_callers));
            all.back()->next();
        }
        std::this_thread::sleep_for(throughput_time);
        stopped = true;
        while (active_callers > 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        std::cout << "round " << round << ": "
                  << done / static_cast<std::size_t>(throughput_time.count())
                  << " statements/s with " << caller_count << " callers"
                  << std::endl;
    }
    return 0;
}

/// Runs the platform and the members for instances in other processes.
int serve_members(int seconds)
{
    standin::running_deployment running(
        one_instance_deployment().instances(0).build(), token_key);
    std::cout << "platform " << running.platform_address() << "\nmember "
              << running.group("loans").address("b") << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    return 0;
}

/// @return the resident memory of this process in KB
long resident_kb()
{
    std::ifstream file("/proc/self/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE) / 1024;
}

int serve(standin::running_deployment& running, int seconds)
{
    std::cout << running.caller_address("entry-1") << std::endl;
    for (int i = 0; i < seconds; ++i)
    {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        std::cout << "resident " << resident_kb() << " KB" << std::endl;
    }
    return 0;
}

int hold_idle(std::string const& address, int count, int seconds)
{
    std::vector<std::unique_ptr<v1::Access::Stub>> stubs;
    std::size_t answered = 0;
    for (int i = 0; i < count; ++i)
    {
        stubs.push_back(connect(address, i));
        grpc::ClientContext context;
        context.AddMetadata("authorization", "Bearer secret");
        v1::Request request;
        request.set_entry("checkouts");
        request.set_statement("get toy");
        v1::Reply reply;
        answered += stubs.back()->Read(&context, request, &reply).ok() ? 1 : 0;
    }
    std::cout << answered << " connections answered" << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    return 0;
}

int usage()
{
    std::cerr << "path_overhead latency|throughput|serve SECONDS|"
                 "idle ADDRESS N SECONDS|members SECONDS|"
                 "callers DIRECT THROUGH\n";
    return 2;
}

} // namespace

int main(int count, char** argument_values)
{
    std::vector<std::string> const arguments(argument_values + 1,
                                             argument_values + count);
    if (arguments.size() == 4 && arguments[0] == "idle")
    {
        return hold_idle(arguments[1], std::stoi(arguments[2]),
                         std::stoi(arguments[3]));
    }
    if (arguments.size() == 3 && arguments[0] == "callers")
    {
        return measure_latency(arguments[1], arguments[2]);
    }
    if (arguments.size() == 2 && arguments[0] == "members")
    {
        return serve_members(std::stoi(arguments[1]));
    }
    bool const is_valid =
        !arguments.empty() &&
        (arguments[0] == "latency" || arguments[0] == "throughput" ||
         (arguments[0] == "serve" && arguments.size() == 2));
    if (!is_valid)
    {
        return usage();
    }
    standin::running_deployment running(one_instance_deployment().build(),
                                        token_key);
    if (!running.wait_ready(std::chrono::seconds(20)))
    {
        std::cerr << "the deployment did not start\n";
        return 1;
    }
    if (arguments[0] == "latency")
    {
        return measure_latency(running.group("loans").address("b"),
                               running.caller_address("entry-1"));
    }
    return arguments[0] == "serve" ? serve(running, std::stoi(arguments[1]))
                                   : measure_throughput(running);
}
