// Prints the round-trip time and rate of messages between two peer sockets on
// loopback.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/transport/peers/peer_socket.hpp>

namespace transport = camphortide::transport;

namespace
{

using steady = std::chrono::steady_clock;
using microseconds = std::chrono::duration<double, std::micro>;

constexpr int warm_up_rounds = 1000;
constexpr int measured_rounds = 20000;
constexpr int messages_in_flight = 64;
constexpr std::size_t message_bytes = 256;

transport::peer_socket_settings any_port_settings()
{
    transport::peer_socket_settings settings;
    settings.m_listen = "127.0.0.1:0";
    return settings;
}

/// Echoes every message to its sender.
class echo_server : public transport::peer_handler
{
public:
    void on_message(transport::peer_route const& from,
                    std::string_view bytes) override
    {
        m_socket->send({from, std::string(bytes), {}, 0, {}});
    }
    void on_undelivered(std::uint64_t) override {}

    std::unique_ptr<transport::peer_socket> m_socket;
};

/// Sends a message for each reply until a number of replies has arrived.
class round_trip_client : public transport::peer_handler
{
public:
    explicit round_trip_client(int rounds) : m_remaining(rounds) {}

    void on_message(transport::peer_route const& from,
                    std::string_view bytes) override
    {
        m_times.push_back(microseconds(steady::now() - m_sent).count());
        if (--m_remaining == 0)
        {
            m_done.set_value();
        }
        if (m_remaining > 0)
        {
            m_sent = steady::now();
            m_socket->send({from, std::string(bytes), {}, 0, {}});
        }
    }
    void on_undelivered(std::uint64_t) override {}

    int m_remaining;
    steady::time_point m_sent;
    std::vector<double> m_times;
    std::promise<void> m_done;
    std::unique_ptr<transport::peer_socket> m_socket;
};

void print_round_trips(std::string const& address)
{
    round_trip_client client(warm_up_rounds + measured_rounds);
    client.m_socket =
        std::move(transport::peer_socket::open(any_port_settings(), client))
            .value();
    client.m_sent = steady::now();
    client.m_socket->send(
        {{address, {}}, std::string(message_bytes, 'x'), {}, 0, {}});
    client.m_done.get_future().get();
    auto& times = client.m_times;
    times.erase(times.begin(), times.begin() + warm_up_rounds);
    std::sort(times.begin(), times.end());
    std::printf("round trip of %zu bytes: p50 %.1f us, p99 %.1f us\n",
                message_bytes, times[times.size() / 2],
                times[times.size() * 99 / 100]);
}

void print_throughput(std::string const& address)
{
    round_trip_client client(measured_rounds * messages_in_flight / 4);
    client.m_socket =
        std::move(transport::peer_socket::open(any_port_settings(), client))
            .value();
    auto const total = client.m_remaining;
    auto const start = steady::now();
    for (int i = 0; i < messages_in_flight; ++i)
    {
        client.m_socket->send(
            {{address, {}}, std::string(message_bytes, 'x'), {}, 0, {}});
    }
    client.m_done.get_future().get();
    std::chrono::duration<double> const elapsed = steady::now() - start;
    std::printf("round trips a second with %d in flight: %.0f\n",
                messages_in_flight, total / elapsed.count());
}

} // namespace

int main()
{
    echo_server server;
    server.m_socket =
        std::move(transport::peer_socket::open(any_port_settings(), server))
            .value();
    print_round_trips(server.m_socket->address());
    print_throughput(server.m_socket->address());
    return 0;
}
