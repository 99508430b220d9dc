#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <camphortide/coordination/primary/lapsed_members.hpp>
#include <camphortide/platform/process_settings.hpp>
#include <camphortide/proxy/fleet_view.hpp>
#include <camphortide/proxy/object_watch.hpp>
#include <camphortide/proxy/store_client.hpp>
#include <camphortide/state/fleet_records.hpp>

namespace camphortide::proxy
{

/// Caches the store's objects (the configuration, the members and the system's
/// records) and registers this instance in the store. Used on the control
/// thread only.
class fleet_control
{
public:
    using view_handler = std::function<void(std::shared_ptr<fleet_view const>)>;

    /// @param start_time start time of this process, Unix milliseconds;
    ///     distinguishes it from earlier processes of the same name
    fleet_control(boost::asio::io_context& context, store_client& store,
                  platform::process_settings const& settings,
                  std::int64_t start_time);

    /// Starts following the store.
    /// @param on_view called with each new view
    /// @param on_records called after each update of the records
    void start(view_handler on_view, std::function<void()> on_records);

    /// Executes what is due; call it at short, regular intervals.
    void tick(state::time_point now);

    /// Records that this instance complies with a closing record.
    void acknowledge_closing(std::string const& group,
                             state::store_revision const& revision);

    /// Records that the holder of the duty has requested the closing.
    void note_close_request(std::string const& group,
                            state::store_revision const& revision);

    /// Sets whether updates are requested from the store first, instead of from
    /// relays.
    void read_store_directly(bool enabled);

    /// Responds to another instance's request for store updates.
    void serve(update_request const& request, object_watch::responder respond);

    /// The state of the updates of one kind of objects.
    struct update_status
    {
        char const* m_kind = "";
        /// Time since the store's last successful response, to this instance or
        /// to its relay.
        state::duration m_age{};
        update_statistics m_sent;
    };

    /// @return the state of the updates, by kind of objects
    std::vector<update_status> update_statuses(state::time_point now) const;

    /// @return when the configuration was last known to be up to date
    state::time_point configuration_verified_at() const
    {
        return m_configuration_watch.last_response();
    }

    /// Removes this instance from the store.
    /// @param done called when the removal has succeeded or failed
    void deregister(std::function<void()> done);

    state::fleet_records const& records() const { return m_records; }
    std::shared_ptr<state::configuration const> configuration() const
    {
        return m_configuration;
    }
    /// @return the current members, by id
    std::map<std::string, state::member_entry> const& members() const
    {
        return m_member_entries;
    }

    /// @return the members whose entries have lapsed
    coordination::lapsed_members& lapsed_members() { return m_lapsed_members; }

    /// @return when this process first saw each expelled instance expelled
    std::map<std::string, state::time_point> const& expelled() const
    {
        return m_expelled;
    }

    /// @return until when instances whose registrations were lost as the store
    ///     came back from a copy may have permits to use primaries
    state::time_point unregistered_permits_until() const
    {
        return m_unregistered_permits_until;
    }

    /// @return true if a later process is registered under the instance's name
    bool is_replaced(std::string const& name, std::int64_t start_time) const;

    std::string const& name() const { return m_own_record.m_name; }
    std::int64_t start_time() const { return m_own_record.m_start_time; }

private:
    struct cached_member
    {
        state::member_entry m_entry;
        std::optional<state::time_point> m_missing_since;
    };

    void apply_configuration(object_watch::update const& update);
    void apply_members(object_watch::update const& update);
    void apply_records(object_watch::update const& update);
    void begin_era(std::uint64_t era, object_watch::update const& update);
    void update_expelled();
    void update_source_orders();
    bool must_confirm_closing(state::time_point now);
    bool registered() const;
    void register_if_due(state::time_point now);
    void write_own_record(state::store_revision const& revision);
    void remove_missing_members(state::time_point now);
    void publish_view();
    void update_homes();
    void update_keeper_candidates();
    double young_share() const;
    void update_member_entries();
    void update_member_data_centres();
    object_watch::status_handler status_logger(char const* what);

    store_client& m_store;
    coordination::transfer_budget m_budget;
    object_watch m_configuration_watch;
    object_watch m_member_watch;
    object_watch m_record_watch;
    view_handler m_on_view;
    std::function<void()> m_on_records;
    std::shared_ptr<state::configuration const> m_configuration;
    /// By id.
    std::map<std::string, cached_member> m_members;
    std::map<std::string, state::member_entry> m_member_entries; ///< by id
    coordination::lapsed_members m_lapsed_members;
    state::fleet_records m_records;
    /// As published, by group.
    std::map<std::string, coordination::primary_status> m_primaries;
    state::time_point m_unregistered_permits_until;
    /// By group; derived from the configuration and the registered instances.
    std::shared_ptr<home_map const> m_homes;
    bool m_homes_outdated = true;
    std::shared_ptr<std::vector<coordination::keeper_candidate> const>
        m_keeper_candidates;
    state::allowance_rule m_allowance;

    /// Where a group has members.
    struct member_places
    {
        std::size_t m_members = 0;
        std::set<std::string> m_data_centres;

        friend auto operator<=>(member_places const&,
                                member_places const&) = default;
    };

    std::map<std::string, member_places> m_member_places; ///< by group
    /// By name.
    std::map<std::string, state::time_point> m_expelled;
    /// The records are at least as new as this.
    state::time_point m_records_verified_at;
    bool m_records_known = false;
    state::instance_entry m_own_record;
    /// Revision of an object of another writer in place of the own record; the
    /// default value: there is none.
    state::store_revision m_invalid_own_revision;
    bool m_writing = false;
    bool m_deregistering = false;
    /// Updates are requested from the store first.
    bool m_reads_store = false;
    /// Revisions of the requested closings, by group.
    std::map<std::string, state::store_revision> m_requested_closings;
    /// Revision of each closing record and when it was first seen, by group.
    std::map<std::string, std::pair<state::store_revision, state::time_point>>
        m_closing_seen;
    state::time_point m_last_write;
};

} // namespace camphortide::proxy
