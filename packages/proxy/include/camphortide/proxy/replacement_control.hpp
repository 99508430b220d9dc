#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <camphortide/coordination/primary/duty_lease.hpp>
#include <camphortide/coordination/primary/primary_watch.hpp>
#include <camphortide/coordination/primary/replacement.hpp>
#include <camphortide/platform/promotion_protocol.hpp>
#include <camphortide/proxy/fleet_control.hpp>
#include <camphortide/proxy/member_monitor.hpp>
#include <camphortide/proxy/peer_messages.hpp>

namespace camphortide::proxy
{

/// Holds the duty of replacing primaries, if this instance has it, and does
/// it. Belongs to the control thread.
class replacement_control
{
public:
    /// Stops the use of a primary by this instance.
    /// @param closed called on the control thread when it is done
    using local_close = std::function<void(close_request const& request,
                                           std::function<void()> closed)>;

    replacement_control(boost::asio::io_context& context, store_client& store,
                        fleet_control& fleet, std::string promotion_address,
                        local_close close_here);
    ~replacement_control();

    /// Takes the records as they are now.
    void records_changed();

    /// Does what is due; call it often.
    void tick(state::time_point now);

    /// Takes the word of an instance that it doesn't reach a primary.
    void take_word(unreachable_word const& word);

    /// Sends such a word of this instance to whoever has the duty.
    void send_word(std::string const& group, std::string const& member);

    /// Gives the duty up.
    /// @param done called when that is done or has failed
    void release(std::function<void()> done);

    void set_promotion_address(std::string const& address);

    bool holds_duty() const;

private:
    struct group_control;

    /// When an instance was last asked, and last answered.
    struct contact
    {
        state::time_point m_asked;
        state::time_point m_answered;
    };

    void step_lease(state::time_point now);
    void step_group(std::string const& name, state::time_point now);
    void create_record(std::string const& name, group_control& group);
    void watch_members(std::string const& name, group_control& group,
                       state::time_point now);
    coordination::replacement_facts facts_for(std::string const& name,
                                              group_control& group,
                                              state::time_point now);
    coordination::replacement_reason
    reason_for(group_control& group, state::term_record const& record,
               std::vector<coordination::reported_member> const& members,
               state::time_point now);
    void act(std::string const& name,
             coordination::replacement_action const& action,
             std::uint64_t revision);
    void write_record(std::string const& name, state::term_record const& record,
                      std::uint64_t revision);
    void ask_close(std::string const& name, std::string const& instance,
                   std::uint64_t revision);
    void promote(std::string const& name, std::string const& member);
    void ping_instances(state::time_point now);
    void ping(std::string const& name, std::string const& address);
    void expel(std::string const& instance);
    void remove_expelled(state::time_point now);
    http_client& peer(std::string const& address);

    boost::asio::io_context& m_context;
    store_client& m_store;
    fleet_control& m_fleet;
    std::shared_ptr<http_client> m_promotions;
    local_close m_close_here;
    coordination::duty_lease m_lease;
    bool m_held = false;
    std::uint64_t m_held_token = 0; ///< of the groups below
    state::time_point m_last_tick;
    std::map<std::string, std::unique_ptr<group_control>> m_groups;
    std::map<std::string, std::shared_ptr<http_client>> m_peers;
    std::map<std::string, state::time_point> m_words_sent; ///< by group
    std::map<std::string, contact> m_contacts;             ///< by instance
    state::time_point m_last_removal;
};

} // namespace camphortide::proxy
