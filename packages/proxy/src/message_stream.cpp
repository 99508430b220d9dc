#include "socket_options.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include <camphortide/proxy/message_stream.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/// The connection fails if the other host doesn't acknowledge data for this
/// long: many round trips, and about a caller's target latency.
constexpr state::duration ack_timeout{500};
constexpr std::size_t length_bytes = 4;
constexpr unsigned byte_bits = 8;

std::string length_prefix(std::size_t length)
{
    std::string prefix(length_bytes, '\0');
    for (std::size_t offset = length_bytes; offset-- > 0;)
    {
        prefix[offset] = static_cast<char>(length & 0xffU);
        length >>= byte_bits;
    }
    return prefix;
}

std::size_t read_length(std::string const& bytes, std::size_t from)
{
    std::size_t length = 0;
    for (std::size_t offset = 0; offset < length_bytes; ++offset)
    {
        length = length << byte_bits |
                 static_cast<unsigned char>(bytes[from + offset]);
    }
    return length;
}

} // namespace

message_stream::message_stream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket)),
      m_writer(m_socket, [this](bool ok) { handle_written(ok); }),
      m_read_buffer()
{
}

void message_stream::start(message_handler on_message, end_handler ended)
{
    m_on_message = std::move(on_message);
    m_ended = std::move(ended);
    if (m_socket.is_open() && !m_closed && !m_alive)
    {
        m_alive = true;
        m_last_received = state::clock::now();
        configure_socket(m_socket, ack_timeout);
        read();
    }
}

void message_stream::connect(std::string const& address,
                             std::function<void(bool)> connected)
{
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        asio::post(m_socket.get_executor(),
                   [connected = std::move(connected)] { connected(false); });
        return;
    }
    m_socket.async_connect(*endpoint,
                           [self = shared_from_this(),
                            connected = std::move(connected)](error_code error)
                           { connected(!error && !self->m_closed); });
}

void message_stream::send(v1::Message const& message)
{
    if (m_alive)
    {
        auto const body = message.SerializeAsString();
        m_writer.write(length_prefix(body.size()) + body, shared_from_this());
    }
}

void message_stream::handle_written(bool ok)
{
    if (!ok)
    {
        end();
    }
    else if (m_alive)
    {
        read();
    }
}

void message_stream::read()
{
    if (m_reading || m_writer.unsent() >= m_max_unsent)
    {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_read_buffer),
        [self = shared_from_this()](error_code error, std::size_t count)
        {
            self->m_reading = false;
            if (!self->m_alive)
            {
                return;
            }
            if (error)
            {
                self->end();
                return;
            }
            self->m_last_received = state::clock::now();
            self->m_unread.append(self->m_read_buffer.data(), count);
            if (!self->process_messages())
            {
                self->end();
            }
            else if (self->m_alive)
            {
                self->read();
            }
        });
}

bool message_stream::process_messages()
{
    std::size_t offset = 0;
    while (m_alive && m_unread.size() - offset >= length_bytes)
    {
        auto const length = read_length(m_unread, offset);
        if (length > max_message_bytes)
        {
            return false;
        }
        if (m_unread.size() - offset - length_bytes < length)
        {
            break;
        }
        v1::Message message;
        if (!message.ParseFromArray(m_unread.data() + offset + length_bytes,
                                    static_cast<int>(length)))
        {
            return false;
        }
        offset += length_bytes + length;
        m_on_message(message);
    }
    m_unread.erase(0, offset);
    return true;
}

void message_stream::close()
{
    m_alive = false;
    m_closed = true;
    error_code ignored; // the connection ends in any case
    m_socket.close(ignored);
}

void message_stream::end()
{
    if (std::exchange(m_alive, false))
    {
        auto const self = shared_from_this();
        close();
        m_ended();
    }
}

} // namespace camphortide::proxy
