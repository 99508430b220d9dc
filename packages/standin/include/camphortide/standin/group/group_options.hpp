#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <grpcpp/security/server_credentials.h>

namespace camphortide::standin
{

/// Settings of a stand-in database group.
struct group_options
{
    std::string m_name;
    std::vector<std::string> m_members;
    std::uint32_t m_connection_limit = 16;
    std::uint32_t m_slots = 2; ///< statements that a member runs concurrently
    std::chrono::microseconds m_open_delay{12000};
    std::chrono::microseconds m_statement_time{0};
    std::chrono::microseconds m_network_delay{0}; ///< one way, per message
    std::chrono::microseconds m_receive_lag{0};
    std::chrono::microseconds m_apply_lag{0};
    bool m_initial_primary = true; ///< the first member starts as primary
    std::shared_ptr<grpc::ServerCredentials> m_credentials =
        grpc::InsecureServerCredentials(); ///< of the members' servers
};

} // namespace camphortide::standin
