#include "zap_handler.hpp"

#include <cstring>
#include <string_view>
#include <vector>

namespace camphortide::transport
{

namespace
{

constexpr char const* zap_endpoint = "inproc://zeromq.zap.01";

// Indexes of the frames in a request.
constexpr std::size_t version_frame = 0;
constexpr std::size_t request_id_frame = 1;
constexpr std::size_t mechanism_frame = 5;
constexpr std::size_t credential_frame = 6;

std::vector<zmq::message_t> receive_frames(zmq::socket_t& socket)
{
    std::vector<zmq::message_t> frames;
    zmq::message_t frame;
    while (socket.recv(frame, zmq::recv_flags::dontwait))
    {
        bool const more = frame.more();
        frames.push_back(std::move(frame));
        if (!more)
        {
            break;
        }
        frame = zmq::message_t();
    }
    return frames;
}

void send_frame(zmq::socket_t& socket, std::string_view bytes, bool more)
{
    socket.send(zmq::buffer(bytes),
                more ? zmq::send_flags::sndmore : zmq::send_flags::none);
}

} // namespace

zap_handler::zap_handler(zmq::context_t& context, std::string const& public_key)
    : m_socket(context, zmq::socket_type::rep)
{
    zmq_z85_decode(m_public_key.data(), public_key.c_str());
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.bind(zap_endpoint);
}

void zap_handler::answer_requests()
{
    for (auto frames = receive_frames(m_socket); !frames.empty();
         frames = receive_frames(m_socket))
    {
        if (frames.size() <= request_id_frame)
        {
            return;
        }
        bool const authorized =
            frames.size() > credential_frame &&
            frames[mechanism_frame].to_string_view() == "CURVE" &&
            frames[credential_frame].size() == key_bytes &&
            std::memcmp(frames[credential_frame].data(), m_public_key.data(),
                        key_bytes) == 0;
        send_frame(m_socket, frames[version_frame].to_string_view(), true);
        send_frame(m_socket, frames[request_id_frame].to_string_view(), true);
        send_frame(m_socket, authorized ? "200" : "400", true);
        send_frame(m_socket, authorized ? "OK" : "unknown key", true);
        send_frame(m_socket, "", true);
        send_frame(m_socket, "", false);
    }
}

} // namespace camphortide::transport
