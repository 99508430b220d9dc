#pragma once

#include <atomic>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace tests
{

/// Client for the callers' text protocol. Sends a request and waits for the
/// complete answer.
class text_client
{
public:
    /// Connects and opens a session.
    /// @param key the caller's key
    text_client(std::string const& host, unsigned short port,
                std::string const& database, std::string const& key = "test")
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::make_address(host), port});
        send("CONNECT " + database + ' ' + key);
        m_greeting = line();
    }

    std::string const& greeting() const { return m_greeting; }

    /// Runs a statement.
    /// @return the lines of the answer; the last one without its position
    std::vector<std::string> run(std::string const& text)
    {
        // IDs are unique within a test program.
        static std::atomic<int> last{0};
        m_last_id = ++last;
        send("QUERY q" + std::to_string(m_last_id) + ' ' + text);
        return answer();
    }

    /// Runs a statement.
    /// @return "COMPLETE", or the failure line's first two words
    std::string outcome(std::string const& text)
    {
        auto const lines = run(text);
        auto const& main = lines.at(lines.size() - 2);
        return main.rfind("COMPLETE", 0) == 0
                   ? "COMPLETE"
                   : main.substr(0, main.find(' ', main.find(' ') + 1));
    }

    void send(std::string const& text)
    {
        boost::asio::write(m_socket, boost::asio::buffer(text + "\r\n"));
    }

    std::vector<std::string> answer()
    {
        std::vector<std::string> lines;
        while (lines.empty() || lines.back().rfind("IDLE", 0) != 0)
        {
            lines.push_back(line());
        }
        lines.back().resize(std::string("IDLE x").size());
        return lines;
    }

    /// @return the next line; empty once the connection has ended
    std::string line()
    {
        boost::system::error_code error;
        boost::asio::read_until(m_socket, m_buffer, "\r\n", error);
        if (error)
        {
            return {};
        }
        std::istream stream(&m_buffer);
        std::string text;
        std::getline(stream, text);
        text.pop_back();
        return text;
    }

    void leave() { m_socket.close(); }

    int last_id() const { return m_last_id; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::streambuf m_buffer;
    std::string m_greeting;
    int m_last_id = 0;
};

} // namespace tests
