#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <camphortide/state/clock.hpp>

namespace camphortide::proxy
{

/// Writes to a socket in order, with one write in progress at a time.
class socket_writer
{
public:
    /// @param ok true: everything was written; false: the connection failed
    using done_handler = std::function<void(bool ok)>;

    /// @param socket must outlive the writer
    /// @param done called when nothing is left to write, and on a failure
    socket_writer(boost::asio::ip::tcp::socket& socket, done_handler done)
        : m_socket(socket),
          m_done(std::move(done))
    {
    }

    /// Queues bytes to be written.
    /// @param bytes to write
    /// @param owner of the socket and the writer, kept alive until the write
    ///     has ended
    void write(std::string const& bytes, std::shared_ptr<void> owner);

    /// @return true while a write is in progress
    bool busy() const { return !m_writing.empty(); }
    /// @return the number of bytes that the system hasn't taken yet
    std::size_t unsent() const
    {
        return m_unsent.size() + m_writing.size() - m_written;
    }
    /// @return since when the system has taken no byte, while a write is in
    ///     progress
    state::time_point stalled_since() const { return m_last_progress; }

private:
    void write_next(std::shared_ptr<void> owner);

    boost::asio::ip::tcp::socket& m_socket;
    done_handler m_done;
    std::string m_unsent;
    std::string m_writing;
    std::size_t m_written = 0; ///< of m_writing
    state::time_point m_last_progress;
};

} // namespace camphortide::proxy
