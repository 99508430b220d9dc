#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>

#include <doctest/doctest.h>
#include <zmq.hpp>

#include <camphortide/transport/peers/peer_socket.hpp>

using namespace camphortide::transport;
using camphortide::state::duration;
using camphortide::state::time_point;

namespace
{

constexpr duration long_time{3'600'000};

struct received
{
    peer_route m_from;
    std::string m_bytes;
};

/// Keeps what a socket tells, for a test to wait for.
class mailbox : public peer_handler
{
public:
    void on_message(peer_route const& from, std::string_view bytes) override
    {
        std::scoped_lock const lock(m_mutex);
        m_messages.push_back({from, std::string(bytes)});
        m_told.notify_all();
    }

    void on_undelivered(std::uint64_t ticket) override
    {
        std::scoped_lock const lock(m_mutex);
        m_tickets.push_back(ticket);
        m_told.notify_all();
    }

    received next() { return take(m_messages); }
    std::uint64_t next_ticket() { return take(m_tickets); }

private:
    template <typename Value>
    Value take(std::deque<Value>& values)
    {
        std::unique_lock lock(m_mutex);
        m_told.wait(lock, [&values] { return !values.empty(); });
        auto value = std::move(values.front());
        values.pop_front();
        return value;
    }

    std::mutex m_mutex;
    std::condition_variable m_told;
    std::deque<received> m_messages;
    std::deque<std::uint64_t> m_tickets;
};

peer_socket_settings settings(curve_key_pair const& keys = {})
{
    return {"127.0.0.1:0", std::size_t{1} << 16, 8, keys.m_public_key,
            keys.m_secret_key};
}

struct instance
{
    explicit instance(peer_socket_settings const& with = settings())
        : m_socket(std::move(peer_socket::open(with, m_mailbox)).value())
    {
    }

    void send(std::string const& address, std::string bytes,
              std::uint64_t ticket = 0, duration wait = long_time)
    {
        m_socket->send({{address, {}},
                        std::move(bytes),
                        ticket == 0 ? delivery::droppable : delivery::reported,
                        ticket,
                        camphortide::state::clock::now() + wait});
    }

    mailbox m_mailbox;
    std::unique_ptr<peer_socket> m_socket;
};

} // namespace

TEST_CASE("a message and its answer go over one connection")
{
    instance left;
    instance right;
    left.send(right.m_socket->address(), "question");
    auto const question = right.m_mailbox.next();
    CHECK(question.m_bytes == "question");
    CHECK(question.m_from.m_address.empty());
    right.m_socket->send({question.m_from, "answer", {}, 0, {}});
    auto const answer = left.m_mailbox.next();
    CHECK(answer.m_bytes == "answer");
    CHECK(answer.m_from.m_address == right.m_socket->address());
    CHECK(left.m_socket->counts().m_received == 1);
}

TEST_CASE("messages to one peer keep their order")
{
    instance left;
    instance right;
    for (int i = 0; i < 1000; ++i)
    {
        // Waiting for each keeps within the queue's length.
        left.send(right.m_socket->address(), std::to_string(i), 1);
        CHECK(right.m_mailbox.next().m_bytes == std::to_string(i));
    }
}

TEST_CASE("a message that cannot be sent in its time is told")
{
    instance left;
    left.send("127.0.0.1:1", "x", 42, duration(0));
    CHECK(left.m_mailbox.next_ticket() == 42);
    left.send("nonsense", "x", 43);
    CHECK(left.m_mailbox.next_ticket() == 43);
    CHECK(left.m_socket->counts().m_undelivered == 2);
}

TEST_CASE("a forgotten peer's messages are told")
{
    instance left;
    left.send("127.0.0.1:1", "x", 42);
    left.m_socket->forget("127.0.0.1:1");
    CHECK(left.m_mailbox.next_ticket() == 42);
}

TEST_CASE("an answer to a caller that is gone is told")
{
    instance right;
    auto left = std::make_unique<instance>();
    left->send(right.m_socket->address(), "question");
    auto const from = right.m_mailbox.next().m_from;
    left.reset();
    std::uint64_t ticket = 0;
    while (ticket < 100'000 && right.m_socket->counts().m_undelivered == 0)
    {
        right.m_socket->send(
            {from, "answer", delivery::reported, ++ticket, {}});
    }
    CHECK(right.m_mailbox.next_ticket() <= ticket);
}

TEST_CASE("a message above the limit is not sent")
{
    instance left;
    instance right;
    std::string const large((std::size_t{1} << 16) + 1, 'x');
    left.send(right.m_socket->address(), large, 9);
    CHECK(left.m_mailbox.next_ticket() == 9);
}

TEST_CASE("a peer that comes back is reached again")
{
    instance left;
    auto right = std::make_unique<instance>();
    auto const address = right->m_socket->address();
    left.send(address, "1");
    CHECK(right->m_mailbox.next().m_bytes == "1");
    right.reset();
    auto again = settings();
    again.m_listen = address;
    right = std::make_unique<instance>(again);
    // Those sent before the break is noticed may be lost.
    std::string bytes;
    while (bytes.empty())
    {
        left.send(address, "2");
        if (right->m_socket->counts().m_received > 0)
        {
            bytes = right->m_mailbox.next().m_bytes;
        }
    }
    CHECK(bytes == "2");
}

TEST_CASE("a port in use and a wrong key are errors")
{
    instance first;
    mailbox box;
    auto taken = settings();
    taken.m_listen = first.m_socket->address();
    CHECK(peer_socket::open(taken, box).status().code() ==
          absl::StatusCode::kUnavailable);
    auto wrong = settings({"short", "short"});
    CHECK(peer_socket::open(wrong, box).status().code() ==
          absl::StatusCode::kInvalidArgument);
}

TEST_CASE("with CURVE only the holders of the system's keys get through")
{
    auto const keys = make_curve_key_pair();
    instance left(settings(keys));
    instance right(settings(keys));
    auto const address = right.m_socket->address();

    auto const other = make_curve_key_pair();
    instance stranger(settings(other));
    instance plain;
    stranger.send(address, "stranger", 1, duration(200));
    plain.send(address, "plain", 2, duration(200));
    CHECK(stranger.m_mailbox.next_ticket() == 1);
    CHECK(plain.m_mailbox.next_ticket() == 2);

    // Has a pair of its own and knows the public key of the system.
    zmq::context_t context;
    zmq::socket_t outsider(context, zmq::socket_type::dealer);
    outsider.set(zmq::sockopt::linger, 0);
    outsider.set(zmq::sockopt::immediate, true);
    outsider.set(zmq::sockopt::sndtimeo, 200);
    outsider.set(zmq::sockopt::curve_serverkey, keys.m_public_key);
    outsider.set(zmq::sockopt::curve_publickey, other.m_public_key);
    outsider.set(zmq::sockopt::curve_secretkey, other.m_secret_key);
    outsider.connect("tcp://" + address);
    CHECK_FALSE(
        outsider.send(zmq::str_buffer("outsider"), zmq::send_flags::none)
            .has_value());

    left.send(address, "friend");
    CHECK(right.m_mailbox.next().m_bytes == "friend");
    CHECK(right.m_socket->counts().m_received == 1);
}
