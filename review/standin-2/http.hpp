#pragma once

#include "net.hpp"

#include <algorithm>
#include <cctype>
#include <map>

namespace review
{

struct http_message
{
    std::string m_method;
    std::string m_target;
    std::map<std::string, std::string> m_headers; ///< names in lower case
    std::string m_body;
};

struct http_answer
{
    int m_status = 200;
    std::string m_body;
};

inline std::optional<http_message> read_request(tcp_socket& socket)
{
    auto const first = socket.read_line();
    if (!first)
    {
        return std::nullopt;
    }
    http_message message;
    auto const blank = first->find(' ');
    message.m_method = first->substr(0, blank);
    message.m_target = first->substr(blank + 1);
    message.m_target.resize(message.m_target.find(' '));
    while (auto const line = socket.read_line())
    {
        if (line->empty())
        {
            auto const length = message.m_headers.find("content-length");
            auto const body = socket.read_exactly(
                length == message.m_headers.end() ? 0
                                                  : std::stoul(length->second));
            if (!body)
            {
                return std::nullopt;
            }
            message.m_body = *body;
            return message;
        }
        auto const colon = line->find(':');
        auto name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char each) { return std::tolower(each); });
        auto const value = line->find_first_not_of(' ', colon + 1);
        message.m_headers[name] =
            value == std::string::npos ? "" : line->substr(value);
    }
    return std::nullopt;
}

inline bool write_answer(tcp_socket const& socket, http_answer const& answer)
{
    return socket.write(
        "HTTP/1.1 " + std::to_string(answer.m_status) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(answer.m_body.size()) + "\r\n\r\n" + answer.m_body);
}

/// Serves HTTP on a loopback port.
class http_server
{
public:
    using handler = std::function<http_answer(http_message const&)>;

    explicit http_server(handler handle)
        : m_handler(std::move(handle)),
          m_listener(
              [this](tcp_socket socket)
              {
                  while (auto const request = read_request(socket))
                  {
                      if (!write_answer(socket, m_handler(*request)))
                      {
                          return;
                      }
                  }
              })
    {
    }

    std::uint16_t port() const { return m_listener.port(); }

private:
    handler m_handler;
    listener m_listener;
};

} // namespace review
