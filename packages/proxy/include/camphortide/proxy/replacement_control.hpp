#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <camphortide/coordination/primary/duty_lease.hpp>
#include <camphortide/coordination/primary/primary_watch.hpp>
#include <camphortide/coordination/primary/promotion_calls.hpp>
#include <camphortide/coordination/primary/replacement.hpp>
#include <camphortide/platform/promotion_protocol.hpp>
#include <camphortide/proxy/fleet_control.hpp>
#include <camphortide/proxy/member_monitor.hpp>
#include <camphortide/proxy/member_records.hpp>
#include <camphortide/proxy/peer_messages.hpp>

namespace camphortide::proxy
{

/// Competes for the duty of replacing primaries and, while this instance holds
/// it, monitors the groups and instances and replaces lost primaries. Used on
/// the control thread only.
class replacement_control
{
public:
    /// Stops this instance's use of a primary.
    /// @param closed called on the control thread once the use has ended
    using close_handler = std::function<void(close_request const& request,
                                             std::function<void()> closed)>;

    replacement_control(boost::asio::io_context& context, store_client& store,
                        fleet_control& fleet,
                        platform::process_settings const& settings,
                        close_handler close_primary);
    ~replacement_control();

    /// Processes an update of the fleet's records.
    void records_changed();

    /// Executes what is due; call it at short, regular intervals.
    void tick(state::time_point now);

    /// Records an instance's report that a primary is unreachable.
    void note_report(unreachable_report const& report);

    /// Reports to the holder of the duty that a primary is unreachable for this
    /// instance. Reports that follow too soon on the last one are dropped.
    void send_report(std::string const& group, std::string const& member);

    /// Releases the duty once none of this instance's promotion requests may
    /// still arrive, so that the next holder can act at once. Until then this
    /// instance neither acts nor renews its lease.
    /// @param done called when the release has succeeded or failed
    void release_duty(std::function<void()> done);

    void set_promotion_address(std::string const& address);

    bool holds_duty() const;

    /// @return how often a group's primary was chosen although what was
    ///     acknowledged in the term before was given up, by group
    std::map<std::string, std::uint64_t> const& given_up_terms() const
    {
        return m_given_up_terms;
    }

private:
    struct group_control;

    /// When an instance was last pinged, and when it last responded.
    struct contact
    {
        state::time_point m_requested_at;
        state::time_point m_responded_at;
    };

    void step_lease(state::time_point now);
    std::uint64_t highest_token() const;
    void step_group(std::string const& name, state::time_point now);
    void create_record(std::string const& name, group_control& group);
    static void log_obstacle(group_control& group,
                             coordination::replacement_facts const& facts);
    void poll_members(std::string const& name, group_control& group,
                      state::time_point now);
    /// @return the members of a group that are asked for reports, by id: the
    ///     registered ones and, if replicas acknowledge commits, the lapsed
    ///     ones
    std::map<std::string, state::member_entry>
    members_to_ask(std::string const& name) const;
    std::unique_ptr<member_monitor>
    make_monitor(std::string const& name, group_control& group,
                 state::member_entry const& member);
    /// @return how many replicas of a group acknowledge each commit
    std::uint32_t sync_replicas_of(std::string const& name) const;
    coordination::replacement_facts collect_facts(std::string const& name,
                                                  group_control& group,
                                                  state::time_point now);
    void note_positions(coordination::replacement_facts const& facts);
    coordination::replacement_reason
    determine_reason(group_control& group, state::term_record const& record,
                     std::vector<coordination::reported_member> const& members,
                     state::time_point now);
    void execute(std::string const& name,
                 coordination::replacement_action const& action,
                 state::store_revision const& revision);
    void write_record(std::string const& name, state::term_record const& record,
                      state::store_revision const& revision);
    void request_close(std::string const& name, std::string const& instance,
                       state::store_revision const& revision);
    void promote(std::string const& name, std::string const& member);
    void report_given_up_term(std::string const& name,
                              std::string const& member);
    /// @return true if a promotion request with this token may be sent now
    bool may_promote(std::uint64_t token, state::time_point now) const;
    void release_if_settled(state::time_point now);
    void ping_instances(state::time_point now);
    void ping(std::string const& name, std::string const& address);
    void expel(std::string const& instance);
    void remove_expelled(state::time_point now);
    http_client& peer_client(std::string const& address);

    boost::asio::io_context& m_context;
    store_client& m_store;
    fleet_control& m_fleet;
    member_records m_member_records;
    std::shared_ptr<http_client> m_promotion_client;
    close_handler m_close_primary;
    coordination::duty_lease m_lease;
    coordination::replacement_settings m_replacement_settings;
    std::map<std::string, std::uint64_t> m_given_up_terms; ///< by group
    coordination::promotion_calls m_promotion_calls;
    /// Set once the duty is to be released, until it has been.
    std::function<void()> m_on_release;
    bool m_releasing = false;
    bool m_held_duty = false;
    /// Token of the duty that m_groups belongs to.
    std::uint64_t m_held_token = 0;
    state::time_point m_last_tick;
    std::map<std::string, std::unique_ptr<group_control>> m_groups;
    /// By address.
    std::map<std::string, std::shared_ptr<http_client>> m_peers;
    /// Time of the last report, by group.
    std::map<std::string, state::time_point> m_reports_sent;
    /// By instance name.
    std::map<std::string, contact> m_contacts;
    state::time_point m_last_removal;
};

} // namespace camphortide::proxy
