#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <camphortide/proxy/socket_writer.hpp>
#include <camphortide/proxy/v1/forwarding.pb.h>
#include <camphortide/state/clock.hpp>

namespace camphortide::proxy
{

/// Connection between two instances that carries messages, each prefixed by its
/// length.
class message_stream : public std::enable_shared_from_this<message_stream>
{
public:
    /// Upper bound of a message: a statement and its session's values are at
    /// most about 1 MiB each. A longer one ends the connection.
    static constexpr std::size_t max_message_bytes = std::size_t{4} << 20;

    using message_handler = std::function<void(v1::Message const&)>;
    using end_handler = std::function<void()>;

    explicit message_stream(boost::asio::ip::tcp::socket socket);

    /// Starts reading from a connected socket.
    /// @param on_message called with each message
    /// @param ended called once when the connection has ended, unless by
    ///     close()
    void start(message_handler on_message, end_handler ended);

    /// Starts reading for an owner that may be destroyed before the connection.
    /// @param owner whose members are called while it exists
    /// @param handle called with each message
    /// @param ended called once when the connection has ended, unless by
    ///     close()
    template <typename Owner>
    void start(std::weak_ptr<Owner> const& owner,
               void (Owner::*handle)(v1::Message const&),
               void (Owner::*ended)())
    {
        start(
            [owner, handle](v1::Message const& message)
            {
                if (auto const self = owner.lock())
                {
                    (*self.*handle)(message);
                }
            },
            [owner, ended]
            {
                if (auto const self = owner.lock())
                {
                    (*self.*ended)();
                }
            });
    }

    /// Connects to another instance.
    /// @param address host:port
    /// @param connected called once; with false if the attempt failed
    void connect(std::string const& address,
                 std::function<void(bool)> connected);

    /// @param message of at most max_message_bytes
    void send(v1::Message const& message);

    /// Stops reading while this many bytes or more wait to be sent. Only for
    /// the side that sends answers to what it reads: with both, neither might
    /// read.
    void limit_unsent(std::size_t bytes) { m_max_unsent = bytes; }

    /// Closes the connection without calling the end handler.
    void close();

    bool alive() const { return m_alive; }
    /// @return when data was last received
    state::time_point last_received() const { return m_last_received; }

private:
    void handle_written(bool ok);
    void read();
    /// Handles the complete messages in the unread data.
    /// @return false if a message is invalid or too long
    bool process_messages();
    void end();

    boost::asio::ip::tcp::socket m_socket;
    socket_writer m_writer;
    message_handler m_on_message;
    end_handler m_ended;
    std::string m_unread;
    std::array<char, 16384> m_read_buffer;
    state::time_point m_last_received;
    std::size_t m_max_unsent = std::numeric_limits<std::size_t>::max();
    bool m_reading = false;
    bool m_alive = false;
    bool m_closed = false;
};

} // namespace camphortide::proxy
