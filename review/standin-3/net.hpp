#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review
{

/// A connected TCP socket with buffered reads. Reads and writes block.
class tcp_stream
{
public:
    /// @param handle a connected socket, which the stream owns
    explicit tcp_stream(int handle) : m_handle(handle) {}
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;
    ~tcp_stream();

    /// @param port on 127.0.0.1
    /// @return nothing if nobody listens there
    static std::shared_ptr<tcp_stream> connect(unsigned short port);

    /// @return the next line without CR LF; nothing if the connection ended
    std::optional<std::string> read_line();
    /// @return the given number of bytes; nothing if the connection ended
    std::optional<std::string> read_bytes(std::size_t count);
    /// @return false if the connection has ended
    bool write(std::string_view bytes);
    /// Ends the connection; a read in another thread returns.
    void shut_down() const;
    /// Ends reads that wait for longer than this.
    void set_read_timeout(int milliseconds) const;

private:
    bool fill();

    int m_handle;
    std::string m_buffer;
};

/// Accepts connections on a free port of 127.0.0.1, one thread each.
class tcp_server
{
public:
    using handler = std::function<void(tcp_stream&)>;

    explicit tcp_server(handler handle);
    tcp_server(tcp_server const&) = delete;
    tcp_server& operator=(tcp_server const&) = delete;
    ~tcp_server() = default;

    unsigned short port() const { return m_port; }
    /// Opens the port (the same one after stop()).
    void start();
    /// Closes the port and ends all connections, as the end of a process does.
    void stop();

private:
    void accept_all(int listener);

    handler m_handle;
    unsigned short m_port = 0;
    int m_listener = -1;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<tcp_stream>> m_streams;
};

/// A request that an HTTP server has received.
struct http_request
{
    std::string m_method;
    std::string m_path;
    std::map<std::string, std::string> m_query;
    std::map<std::string, std::string> m_headers; ///< names in lower case
    std::string m_body;
};

struct http_response
{
    int m_status = 200;
    std::string m_body;
};

/// Reads a request.
/// @return nothing if the connection ended
std::optional<http_request> read_request(tcp_stream& stream);

/// Answers the requests of a connection until it ends.
void serve_http(tcp_stream& stream,
                std::function<http_response(http_request const&)> const& reply);

/// @return the status of a GET request; 0 if there is no answer
int get_status(unsigned short port, std::string const& path);

/// @return a port of 127.0.0.1 such that it and the next ones are free
unsigned short find_free_ports(unsigned short count);

} // namespace review
