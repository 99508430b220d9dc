#include <utility>

#include <boost/asio/write.hpp>

#include <camphortide/proxy/socket_writer.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;

void socket_writer::write(std::string const& bytes, std::shared_ptr<void> owner)
{
    m_unsent += bytes;
    if (!busy())
    {
        write_next(std::move(owner));
    }
}

void socket_writer::write_next(std::shared_ptr<void> owner)
{
    if (m_unsent.empty())
    {
        m_done(true);
        return;
    }
    m_writing = std::exchange(m_unsent, {});
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [this, owner = std::move(owner)](
                          boost::system::error_code error, std::size_t)
                      {
                          m_writing.clear();
                          if (error)
                          {
                              m_done(false);
                              return;
                          }
                          write_next(owner);
                      });
}

} // namespace camphortide::proxy
