#pragma once

#include <cstdint>

#include <camphortide/endpoint/v1/member.pb.h>
#include <camphortide/standin/group/member_server.hpp>
#include <camphortide/transport/server_stream.hpp>

namespace camphortide::standin
{

/// A stream on which an instance observes a member's status.
class observe_stream final
    : public transport::server_stream<endpoint::v1::Probe,
                                      endpoint::v1::MemberStatus>
{
public:
    explicit observe_stream(member_server& member) : m_member(member) {}

    /// Sends the status; while a previous one is being sent, schedules it for
    /// afterwards. The caller holds the group's mutex.
    void push();

private:
    void handle(endpoint::v1::Probe const& request) override;
    void on_end() override;
    void on_sent() override;
    void send_status();

    member_server& m_member;
    std::uint64_t m_probe = 0;
    bool m_sending = false;
    bool m_due = false;
};

} // namespace camphortide::standin
