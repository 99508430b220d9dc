#include <utility>

#include <boost/asio/buffer.hpp>

#include <camphortide/proxy/socket_writer.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;

void socket_writer::write(std::string const& bytes, std::shared_ptr<void> owner)
{
    m_unsent += bytes;
    if (!busy())
    {
        m_last_progress = state::clock::now();
        write_next(std::move(owner));
    }
}

void socket_writer::write_next(std::shared_ptr<void> owner)
{
    if (m_written == m_writing.size())
    {
        m_written = 0;
        m_writing = std::exchange(m_unsent, {});
    }
    if (m_writing.empty())
    {
        m_done(true);
        return;
    }
    m_socket.async_write_some(
        asio::buffer(m_writing) + m_written,
        [this, owner = std::move(owner)](boost::system::error_code error,
                                         std::size_t count)
        {
            if (error)
            {
                m_writing.clear();
                m_written = 0;
                m_done(false);
                return;
            }
            m_written += count;
            m_last_progress = state::clock::now();
            write_next(owner);
        });
}

} // namespace camphortide::proxy
