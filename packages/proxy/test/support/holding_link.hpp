#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace tests
{

/// Forwards TCP connections to a server on the loopback interface. While it
/// holds, requests on open connections are kept, and they arrive afterwards
/// although their sender may have closed the connection; only if the sender has
/// reset it, they are lost.
class holding_link
{
public:
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    /// @param server HOST:PORT
    explicit holding_link(std::string const& server)
        : m_guard(boost::asio::make_work_guard(m_context)),
          m_acceptor(m_context,
                     {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_server(boost::asio::ip::make_address(
                       server.substr(0, server.rfind(':'))),
                   static_cast<std::uint16_t>(
                       std::stoi(server.substr(server.rfind(':') + 1))))
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~holding_link()
    {
        m_context.stop();
        m_thread.join();
    }

    holding_link(holding_link const&) = delete;
    holding_link& operator=(holding_link const&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(m_acceptor.local_endpoint().port());
    }

    void hold() { m_holds = true; }

    /// Delivers what was kept.
    void release()
    {
        m_holds = false;
        boost::asio::post(m_context,
                          [this]
                          {
                              for (auto const& each : std::exchange(m_kept, {}))
                              {
                                  deliver(*each);
                              }
                          });
    }

    /// @return true if a request is kept
    bool keeps_requests() const { return m_keeps; }

private:
    struct connection
    {
        explicit connection(boost::asio::io_context& context)
            : m_client(context),
              m_server(context)
        {
        }

        tcp::socket m_client;
        tcp::socket m_server;
        std::array<char, 4096> m_request{};
        std::array<char, 4096> m_response{};
        std::string m_kept;
        bool m_reset = false;
        bool m_ended = false;
    };

    using pointer = std::shared_ptr<connection>;

    void accept()
    {
        auto const next = std::make_shared<connection>(m_context);
        m_acceptor.async_accept(next->m_client,
                                [this, next](error_code error)
                                {
                                    if (!error)
                                    {
                                        connect(next);
                                        accept();
                                    }
                                });
    }

    void connect(pointer const& each)
    {
        each->m_server.async_connect(m_server,
                                     [this, each](error_code error)
                                     {
                                         if (!error)
                                         {
                                             read_request(each);
                                             read_response(each);
                                         }
                                     });
    }

    void read_request(pointer const& each)
    {
        each->m_client.async_read_some(
            boost::asio::buffer(each->m_request),
            [this, each](error_code error, std::size_t size)
            {
                each->m_kept.append(each->m_request.data(), size);
                if (m_holds && size > 0)
                {
                    m_kept.push_back(each);
                    m_keeps = true;
                }
                if (error)
                {
                    each->m_ended = true;
                    each->m_reset =
                        error == boost::asio::error::connection_reset;
                }
                if (!m_holds)
                {
                    deliver(*each);
                }
                if (!error)
                {
                    read_request(each);
                }
            });
    }

    static void deliver(connection& each)
    {
        error_code ignored; // the server may have closed the connection
        if (!each.m_reset)
        {
            boost::asio::write(each.m_server, boost::asio::buffer(each.m_kept),
                               ignored);
        }
        each.m_kept.clear();
        if (each.m_ended)
        {
            each.m_server.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    void read_response(pointer const& each)
    {
        each->m_server.async_read_some(
            boost::asio::buffer(each->m_response),
            [this, each](error_code error, std::size_t size)
            {
                error_code ignored; // the client may have closed the connection
                boost::asio::write(
                    each->m_client,
                    boost::asio::buffer(each->m_response.data(), size),
                    ignored);
                if (!error)
                {
                    read_response(each);
                }
            });
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_guard;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_server;
    std::atomic<bool> m_holds = false;
    std::atomic<bool> m_keeps = false;
    std::vector<pointer> m_kept;
    std::thread m_thread;
};

} // namespace tests
