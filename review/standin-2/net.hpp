#pragma once

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/// Blocking loopback sockets for the stand-ins of the review.
namespace review
{

using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline void pause_for(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// A connected TCP socket.
class tcp_socket
{
public:
    explicit tcp_socket(int handle = -1) : m_handle(handle)
    {
        int const on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    tcp_socket(tcp_socket&& other) noexcept
        : m_handle(std::exchange(other.m_handle, -1)),
          m_buffer(std::move(other.m_buffer))
    {
    }
    tcp_socket& operator=(tcp_socket&& other) noexcept
    {
        close();
        m_handle = std::exchange(other.m_handle, -1);
        m_buffer = std::move(other.m_buffer);
        return *this;
    }
    tcp_socket(tcp_socket const&) = delete;
    tcp_socket& operator=(tcp_socket const&) = delete;
    ~tcp_socket() { close(); }

    bool open() const { return m_handle >= 0; }
    int handle() const { return m_handle; }

    void close()
    {
        if (m_handle >= 0)
        {
            ::close(std::exchange(m_handle, -1));
        }
    }

    /// Ends both directions; a thread that is reading returns.
    void shut_down() const { ::shutdown(m_handle, SHUT_RDWR); }

    bool write(std::string_view bytes) const
    {
        while (!bytes.empty())
        {
            auto const count =
                ::send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /// Reads up to a CR LF, which is not part of the result.
    /// @return nothing at the end of the connection or after the timeout
    std::optional<std::string> read_line(int timeout_ms = -1)
    {
        auto const until = clock_type::now() + milliseconds(timeout_ms);
        while (true)
        {
            auto const end = m_buffer.find("\r\n");
            if (end != std::string::npos)
            {
                auto line = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                return line;
            }
            if (!fill(timeout_ms < 0 ? -1 : remaining_ms(until)))
            {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> read_exactly(std::size_t count)
    {
        while (m_buffer.size() < count)
        {
            if (!fill(-1))
            {
                return std::nullopt;
            }
        }
        auto bytes = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return bytes;
    }

private:
    static int remaining_ms(clock_type::time_point until)
    {
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock_type::now());
        return left.count() > 0 ? static_cast<int>(left.count()) : 0;
    }

    bool fill(int timeout_ms)
    {
        pollfd entry{m_handle, POLLIN, 0};
        if (::poll(&entry, 1, timeout_ms) <= 0)
        {
            return false;
        }
        char bytes[16384];
        auto const count = ::recv(m_handle, bytes, sizeof(bytes), 0);
        if (count <= 0)
        {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_handle;
    std::string m_buffer;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

inline tcp_socket connect_to(std::uint16_t port)
{
    int const handle = ::socket(AF_INET, SOCK_STREAM, 0);
    auto const address = loopback(port);
    if (::connect(handle, reinterpret_cast<sockaddr const*>(&address),
                  sizeof(address)) != 0)
    {
        ::close(handle);
        return tcp_socket();
    }
    return tcp_socket(handle);
}

/// A listener on a free port; runs a function in a thread for each connection.
class listener
{
public:
    using handler = std::function<void(tcp_socket)>;

    explicit listener(handler handle) : m_handler(std::move(handle))
    {
        listen(0);
    }

    ~listener() { stop(); }
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    std::uint16_t port() const { return m_port; }

    void listen(std::uint16_t port)
    {
        m_handle = ::socket(AF_INET, SOCK_STREAM, 0);
        int const on = 1;
        ::setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = loopback(port);
        ::bind(m_handle, reinterpret_cast<sockaddr const*>(&address),
               sizeof(address));
        ::listen(m_handle, 256);
        socklen_t size = sizeof(address);
        ::getsockname(m_handle, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, handle = m_handle] { accept(handle); });
    }

    void stop()
    {
        if (m_thread.joinable())
        {
            ::shutdown(m_handle, SHUT_RDWR);
            m_thread.join();
            ::close(m_handle);
        }
    }

private:
    void accept(int handle) const
    {
        while (true)
        {
            int const accepted = ::accept(handle, nullptr, nullptr);
            if (accepted < 0)
            {
                return;
            }
            std::thread([this, accepted] { m_handler(tcp_socket(accepted)); })
                .detach();
        }
    }

    handler m_handler;
    int m_handle = -1;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace review
