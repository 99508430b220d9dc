// What an instance adds to a direct call of a member, how many statements
// pass through one, and what an idle caller's connection costs it.
//
//     path_overhead latency            direct and through, side by side
//     path_overhead members SECONDS    platform and members alone
//     path_overhead callers DIRECT THROUGH   as latency, with what runs
//                                      elsewhere: a member's address and an
//                                      instance's
//     path_overhead throughput         closed loop through one instance
//     path_overhead serve SECONDS      an instance that prints its memory
//     path_overhead idle ADDRESS N S   N idle connections for S seconds

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
constexpr std::size_t statements = 6000;
constexpr std::size_t connections = 8;
constexpr std::size_t callers = 64;
constexpr std::chrono::seconds throughput_time{5};
constexpr int rounds = 5;
std::string const token_key(64, 'a');

standin::small_deployment_builder one_instance()
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

/// A unary call with the memory that it needs until its answer.
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

/// Connections that are opened once and used in turn, one statement at a time
/// each.
class direct_caller
{
public:
    explicit direct_caller(std::string const& address)
        : m_client(address, grpc::InsecureChannelCredentials())
    {
        for (std::size_t i = 0; i < connections; ++i)
        {
            m_streams.push_back(m_client.connect(
                [this, i](endpoint::v1::StatementReply const& reply)
                { answered(i, reply); },
                [](grpc::Status const&) {}));
        }
        while (m_opened < connections)
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

    void read(std::size_t number, benchmarks::latency_series::moment start,
              benchmarks::latency_series& series)
    {
        m_series = &series;
        auto const on = number % connections;
        m_starts[on] = start;
        endpoint::v1::Statement statement;
        statement.set_request(number + 1);
        statement.set_kind(endpoint::v1::STATEMENT_KIND_READ);
        statement.set_text("get toy");
        m_streams[on]->send(statement);
    }

private:
    void answered(std::size_t on, endpoint::v1::StatementReply const& reply)
    {
        if (reply.code() == endpoint::v1::STATEMENT_CODE_OPENED)
        {
            ++m_opened;
            return;
        }
        m_series.load()->ended(m_starts[on],
                               reply.code() == endpoint::v1::STATEMENT_CODE_OK);
    }

    transport::member_client m_client;
    std::vector<std::shared_ptr<transport::member_connection>> m_streams;
    std::atomic<std::size_t> m_opened{0};
    benchmarks::latency_series::moment m_starts[connections];
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
    for (int round = 0; round < rounds; ++round)
    {
        benchmarks::latency_series alone;
        benchmarks::run_open_loop(statements_per_second, statements,
                                  [&](std::size_t number, auto start)
                                  { direct.read(number, start, alone); });
        alone.wait_for(statements);
        benchmarks::latency_series through;
        benchmarks::run_open_loop(statements_per_second, statements,
                                  [&](std::size_t, auto start)
                                  {
                                      read_through(*stub,
                                                   [&through, start](bool ok) {
                                                       through.ended(start, ok);
                                                   });
                                  });
        through.wait_for(statements);
        std::cout << "round " << round << "\n  direct  " << alone.summary()
                  << "\n  through " << through.summary() << std::endl;
    }
    return 0;
}

/// Repeats reads until it is stopped.
class repeating_caller
{
public:
    repeating_caller(v1::Access::Stub& stub, std::atomic<bool>& stopped,
                     std::atomic<std::size_t>& done,
                     std::atomic<std::size_t>& running)
        : m_stub(stub),
          m_stopped(stopped),
          m_done(done),
          m_running(running)
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
                             --m_running;
                             return;
                         }
                         next();
                     });
    }

private:
    v1::Access::Stub& m_stub;
    std::atomic<bool>& m_stopped;
    std::atomic<std::size_t>& m_done;
    std::atomic<std::size_t>& m_running;
};

int measure_throughput(standin::running_deployment& running)
{
    std::vector<std::unique_ptr<v1::Access::Stub>> stubs;
    stubs.reserve(connections);
    for (int i = 0; i < static_cast<int>(connections); ++i)
    {
        stubs.push_back(connect(running.caller_address("entry-1"), i));
    }
    for (int round = 0; round < rounds; ++round)
    {
        std::atomic<bool> stopped{false};
        std::atomic<std::size_t> done{0};
        std::atomic<std::size_t> left{callers};
        std::vector<std::unique_ptr<repeating_caller>> all;
        all.reserve(callers);
        for (std::size_t i = 0; i < callers; ++i)
        {
            all.push_back(std::make_unique<repeating_caller>(
                *stubs[i % connections], stopped, done, left));
            all.back()->next();
        }
        std::this_thread::sleep_for(throughput_time);
        stopped = true;
        while (left > 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        std::cout << "round " << round << ": "
                  << done / static_cast<std::size_t>(throughput_time.count())
                  << " statements/s with " << callers << " callers"
                  << std::endl;
    }
    return 0;
}

/// Runs the platform and the members for instances in other processes.
int serve_members(int seconds)
{
    standin::running_deployment running(one_instance().instances(0).build(),
                                        token_key);
    std::cout << "platform " << running.platform_address() << "\nmember "
              << running.group("loans").address("b") << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    return 0;
}

/// @return the resident memory of this process, in KB
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

int main(int count, char** values)
{
    std::vector<std::string> const words(values + 1, values + count);
    if (words.size() == 4 && words[0] == "idle")
    {
        return hold_idle(words[1], std::stoi(words[2]), std::stoi(words[3]));
    }
    if (words.size() == 3 && words[0] == "callers")
    {
        return measure_latency(words[1], words[2]);
    }
    if (words.size() == 2 && words[0] == "members")
    {
        return serve_members(std::stoi(words[1]));
    }
    bool const known =
        !words.empty() && (words[0] == "latency" || words[0] == "throughput" ||
                           (words[0] == "serve" && words.size() == 2));
    if (!known)
    {
        return usage();
    }
    standin::running_deployment running(one_instance().build(), token_key);
    if (!running.wait_ready(std::chrono::seconds(20)))
    {
        std::cerr << "the deployment did not start\n";
        return 1;
    }
    if (words[0] == "latency")
    {
        return measure_latency(running.group("loans").address("b"),
                               running.caller_address("entry-1"));
    }
    return words[0] == "serve" ? serve(running, std::stoi(words[1]))
                               : measure_throughput(running);
}
