#include "net.hpp"

#include <algorithm>
#include <cctype>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t read_size = 16384;
constexpr int backlog = 256;

sockaddr_in loopback(unsigned short port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool bind_to(int handle, unsigned short port)
{
    int const on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const address = loopback(port);
    return ::bind(handle, reinterpret_cast<sockaddr const*>(&address),
                  sizeof address) == 0;
}

std::string decode(std::string const& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            result += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            result += text[i];
        }
    }
    return result;
}

void parse_target(std::string const& target, http_request& request)
{
    auto const question = target.find('?');
    request.m_path = decode(target.substr(0, question));
    auto rest = question == std::string::npos ? std::string()
                                              : target.substr(question + 1);
    while (!rest.empty())
    {
        auto const end = std::min(rest.find('&'), rest.size());
        auto const pair = rest.substr(0, end);
        auto const equals = std::min(pair.find('='), pair.size());
        request.m_query[pair.substr(0, equals)] =
            equals == pair.size() ? "" : decode(pair.substr(equals + 1));
        rest.erase(0, end + 1);
    }
}

} // namespace

tcp_stream::~tcp_stream()
{
    ::close(m_handle);
}

std::shared_ptr<tcp_stream> tcp_stream::connect(unsigned short port)
{
    int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto stream = std::make_shared<tcp_stream>(handle);
    auto const address = loopback(port);
    if (::connect(handle, reinterpret_cast<sockaddr const*>(&address),
                  sizeof address) != 0)
    {
        return nullptr;
    }
    int const on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return stream;
}

bool tcp_stream::fill()
{
    char bytes[read_size];
    auto const count = ::recv(m_handle, bytes, sizeof bytes, 0);
    if (count <= 0)
    {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> tcp_stream::read_line()
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos)
    {
        if (!fill())
        {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n");
    }
    auto line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

std::optional<std::string> tcp_stream::read_bytes(std::size_t count)
{
    while (m_buffer.size() < count)
    {
        if (!fill())
        {
            return std::nullopt;
        }
    }
    auto bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

bool tcp_stream::write(std::string_view bytes)
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

void tcp_stream::shut_down() const
{
    ::shutdown(m_handle, SHUT_RDWR);
}

void tcp_stream::set_read_timeout(int milliseconds) const
{
    timeval const value{milliseconds / 1000, (milliseconds % 1000) * 1000L};
    ::setsockopt(m_handle, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

tcp_server::tcp_server(handler handle) : m_handle(std::move(handle)) {}

void tcp_server::start()
{
    std::scoped_lock const lock(m_mutex);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bind_to(m_listener, m_port);
    ::listen(m_listener, backlog);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    std::thread([this, listener = m_listener] { accept_all(listener); })
        .detach();
}

void tcp_server::accept_all(int listener)
{
    for (;;)
    {
        int const handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0)
        {
            ::close(listener);
            return;
        }
        int const on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto const stream = std::make_shared<tcp_stream>(handle);
        {
            std::scoped_lock const lock(m_mutex);
            std::erase_if(m_streams,
                          [](auto const& each) { return each.expired(); });
            m_streams.emplace_back(stream);
        }
        std::thread([this, stream] { m_handle(*stream); }).detach();
    }
}

void tcp_server::stop()
{
    std::scoped_lock const lock(m_mutex);
    ::shutdown(m_listener, SHUT_RDWR);
    for (auto const& each : m_streams)
    {
        if (auto const stream = each.lock())
        {
            stream->shut_down();
        }
    }
    m_streams.clear();
}

std::optional<http_request> read_request(tcp_stream& stream)
{
    auto const first = stream.read_line();
    if (!first)
    {
        return std::nullopt;
    }
    http_request request;
    auto const space = first->find(' ');
    request.m_method = first->substr(0, space);
    parse_target(first->substr(space + 1, first->rfind(' ') - space - 1),
                 request);
    for (;;)
    {
        auto const line = stream.read_line();
        if (!line)
        {
            return std::nullopt;
        }
        if (line->empty())
        {
            break;
        }
        auto const colon = line->find(':');
        auto name = line->substr(0, colon);
        std::ranges::transform(name, name.begin(),
                               [](unsigned char each)
                               { return std::tolower(each); });
        auto const value = line->find_first_not_of(' ', colon + 1);
        request.m_headers[name] =
            value == std::string::npos ? "" : line->substr(value);
    }
    auto const length = request.m_headers.find("content-length");
    if (length != request.m_headers.end())
    {
        auto body = stream.read_bytes(std::stoul(length->second));
        if (!body)
        {
            return std::nullopt;
        }
        request.m_body = std::move(*body);
    }
    return request;
}

void serve_http(tcp_stream& stream,
                std::function<http_response(http_request const&)> const& reply)
{
    while (auto const request = read_request(stream))
    {
        auto const response = reply(*request);
        auto const text = "HTTP/1.1 " + std::to_string(response.m_status) +
                          " -\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(response.m_body.size()) + "\r\n\r\n" +
                          response.m_body;
        if (!stream.write(text))
        {
            return;
        }
    }
}

int get_status(unsigned short port, std::string const& path)
{
    constexpr int timeout_ms = 1000;
    constexpr std::size_t status_at = 9; // after "HTTP/1.1 "
    auto const stream = tcp_stream::connect(port);
    if (!stream)
    {
        return 0;
    }
    stream->set_read_timeout(timeout_ms);
    stream->write("GET " + path + " HTTP/1.1\r\nHost: ready\r\n\r\n");
    auto const line = stream->read_line();
    return line && line->size() > status_at
               ? std::stoi(line->substr(status_at, 3))
               : 0;
}

unsigned short find_free_ports(unsigned short count)
{
    constexpr unsigned short first = 20000;
    constexpr unsigned short last = 30000;
    static unsigned short next = static_cast<unsigned short>(
        first + ::getpid() % 450 * 20); // differs between concurrent runs
    for (;;)
    {
        bool free = true;
        for (unsigned short i = 0; i < count && free; ++i)
        {
            int const handle = ::socket(AF_INET, SOCK_STREAM, 0);
            free = bind_to(handle, static_cast<unsigned short>(next + i));
            ::close(handle);
        }
        auto const found = next;
        next = static_cast<unsigned short>(next + count > last ? first
                                                               : next + count);
        if (free)
        {
            return found;
        }
    }
}

} // namespace review
