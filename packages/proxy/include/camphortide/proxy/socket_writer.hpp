#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

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

private:
    void write_next(std::shared_ptr<void> owner);

    boost::asio::ip::tcp::socket& m_socket;
    done_handler m_done;
    std::string m_unsent;
    std::string m_writing;
};

} // namespace camphortide::proxy
