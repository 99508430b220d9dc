#pragma once

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

using ms = std::chrono::milliseconds;

/// @return milliseconds since the first call
inline std::int64_t now_ms()
{
    static auto const start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<ms>(std::chrono::steady_clock::now() -
                                          start)
        .count();
}

inline void sleep_ms(std::int64_t duration)
{
    if (duration > 0)
    {
        std::this_thread::sleep_for(ms(duration));
    }
}

/// @return the first word of a text, which is removed from it
inline std::string take_word(std::string& text)
{
    auto const end = text.find(' ');
    auto word = text.substr(0, end);
    text = end == std::string::npos ? std::string() : text.substr(end + 1);
    return word;
}

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// Finds ports below the range from which outgoing connections take theirs, so
/// that a process that starts again can listen at the same port.
/// @return the first of consecutive ports that are free now
inline std::uint16_t free_ports(int count)
{
    constexpr int lowest = 18000;
    constexpr int range = 12000;
    static int next = static_cast<int>(::getpid()) * 64 % range;
    for (int attempt = 0; attempt < range; ++attempt)
    {
        int const first = lowest + next % (range - count);
        next += count;
        bool all = true;
        for (int i = 0; all && i < count; ++i)
        {
            int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            auto const address =
                loopback(static_cast<std::uint16_t>(first + i));
            all = ::bind(handle, reinterpret_cast<sockaddr const*>(&address),
                         sizeof(address)) == 0;
            ::close(handle);
        }
        if (all)
        {
            return static_cast<std::uint16_t>(first);
        }
    }
    throw std::runtime_error("no free ports");
}

/// A connected stream socket with buffered reads.
class connection
{
public:
    explicit connection(int handle) : m_handle(handle)
    {
        int const on = 1;
        ::setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    ~connection() { ::close(m_handle); }

    /// @return null if nothing listens there
    static std::shared_ptr<connection> open(std::uint16_t port)
    {
        int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const address = loopback(port);
        if (::connect(handle, reinterpret_cast<sockaddr const*>(&address),
                      sizeof(address)) != 0)
        {
            ::close(handle);
            return nullptr;
        }
        return std::make_shared<connection>(handle);
    }

    bool write(std::string const& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            auto const count = ::send(m_handle, bytes.data() + sent,
                                      bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
            {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads up to CR LF.
    /// @param timeout negative: none
    /// @return nothing if the connection ended or nothing came in time
    std::optional<std::string> read_line(std::int64_t timeout = -1)
    {
        auto const until = now_ms() + timeout;
        while (true)
        {
            auto const end = m_buffer.find("\r\n");
            if (end != std::string::npos)
            {
                auto line = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                return line;
            }
            if (!fill(timeout < 0 ? -1 : until - now_ms()))
            {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> read_bytes(std::size_t count,
                                          std::int64_t timeout = -1)
    {
        auto const until = now_ms() + timeout;
        while (m_buffer.size() < count)
        {
            if (!fill(timeout < 0 ? -1 : until - now_ms()))
            {
                return std::nullopt;
            }
        }
        auto bytes = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return bytes;
    }

    /// @return true if the other end closed the connection
    bool ended() const { return m_ended; }

    void shut_down() const { ::shutdown(m_handle, SHUT_RDWR); }

private:
    bool fill(std::int64_t timeout)
    {
        pollfd waiting{m_handle, POLLIN, 0};
        auto const limit =
            timeout < 0 ? -1
                        : static_cast<int>(std::max<std::int64_t>(timeout, 0));
        if (::poll(&waiting, 1, limit) <= 0)
        {
            return false;
        }
        char bytes[16384];
        auto const count = ::recv(m_handle, bytes, sizeof(bytes), 0);
        if (count <= 0)
        {
            m_ended = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_handle;
    std::string m_buffer;
    bool m_ended = false;
};

/// Accepts connections and serves each on a thread of its own.
class listener
{
public:
    using handler = std::function<void(std::shared_ptr<connection>)>;

    explicit listener(handler serve)
        : m_serve(std::move(serve)),
          m_port(free_ports(1))
    {
        start();
    }

    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    ~listener() { stop(); }

    std::uint16_t port() const { return m_port; }

    /// Starts to listen again at the same port.
    void start()
    {
        m_handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        ::setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = loopback(m_port);
        if (::bind(m_handle, reinterpret_cast<sockaddr*>(&address),
                   sizeof(address)) != 0 ||
            ::listen(m_handle, 256) != 0)
        {
            throw std::runtime_error("cannot listen");
        }
        m_running = true;
        m_thread = std::thread([this] { accept(); });
    }

    /// Ends the listener and all its connections, as the end of a process does.
    void stop()
    {
        if (!m_running.exchange(false))
        {
            return;
        }
        ::shutdown(m_handle, SHUT_RDWR);
        m_thread.join();
        ::close(m_handle);
        std::vector<std::thread> threads;
        {
            std::scoped_lock const lock(m_mutex);
            for (auto const& each : m_connections)
            {
                if (auto const open = each.lock())
                {
                    open->shut_down();
                }
            }
            m_connections.clear();
            threads.swap(m_threads);
        }
        for (auto& each : threads)
        {
            each.join();
        }
    }

private:
    void accept()
    {
        while (m_running)
        {
            int const handle =
                ::accept4(m_handle, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
            {
                continue;
            }
            auto accepted = std::make_shared<connection>(handle);
            std::scoped_lock const lock(m_mutex);
            m_connections.push_back(accepted);
            m_threads.emplace_back([this, accepted = std::move(accepted)]
                                   { m_serve(accepted); });
        }
    }

    handler m_serve;
    std::uint16_t m_port;
    int m_handle = -1;
    std::atomic<bool> m_running = false;
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
};

} // namespace review
