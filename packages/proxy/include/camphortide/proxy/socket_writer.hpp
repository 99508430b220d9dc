#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace camphortide::proxy
{

/// Writes to a socket in order, one write at a time.
class socket_writer
{
public:
    /// @param ok all is written, or the connection has failed
    using done_handler = std::function<void(bool ok)>;

    /// @param socket lives as long as the writer
    socket_writer(boost::asio::ip::tcp::socket& socket, done_handler done)
        : m_socket(socket),
          m_done(std::move(done))
    {
    }

    /// Appends bytes to what is to be written.
    /// @param owner of the socket and the writer, kept until it is written
    void write(std::string const& bytes, std::shared_ptr<void> owner);

    /// @return true while something isn't written
    bool busy() const { return !m_writing.empty(); }

private:
    void write_next(std::shared_ptr<void> owner);

    boost::asio::ip::tcp::socket& m_socket;
    done_handler m_done;
    std::string m_unsent;
    std::string m_writing;
};

} // namespace camphortide::proxy
