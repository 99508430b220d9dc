#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <camphortide/platform/process_settings.hpp>
#include <camphortide/proxy/fleet_view.hpp>
#include <camphortide/proxy/object_watch.hpp>
#include <camphortide/proxy/store_client.hpp>
#include <camphortide/state/fleet_records.hpp>

namespace camphortide::proxy
{

/// Keeps what the store says: the configuration, the members, and the
/// system's own records; registers this instance there. Belongs to the control
/// thread.
class fleet_control
{
public:
    using view_handler = std::function<void(std::shared_ptr<fleet_view const>)>;

    /// @param born when this process started; tells it from earlier ones
    fleet_control(boost::asio::io_context& context, store_client& store,
                  platform::process_settings const& place, std::int64_t born);

    /// Begins to follow the store.
    /// @param on_view called with each new view
    /// @param on_records called after each change of the records
    void start(view_handler on_view, std::function<void()> on_records);

    /// Does what is due; call it often.
    void tick(state::time_point now);

    /// Notes that this instance obeys a closing record.
    void note_closed(std::string const& group, std::uint64_t revision);

    /// Notes that the holder of the duty asked about a closing record.
    void note_asked(std::string const& group, std::uint64_t revision);

    /// Asks the store itself, or, where others do that, them.
    void ask_store_directly(bool direct);

    /// Answers another instance that asks for news of the store.
    void serve(news_request const& request, object_watch::responder done);

    /// Removes this instance from the store.
    /// @param done called when that is done or has failed
    void leave(std::function<void()> done);

    state::fleet_records const& records() const { return m_records; }
    std::shared_ptr<state::configuration const> configuration() const
    {
        return m_configuration;
    }
    /// @return the members in force, by id
    std::map<std::string, state::member_entry> members() const;

    /// @return since when this process has seen instances expelled
    std::map<std::string, state::time_point> const& expelled() const
    {
        return m_expelled;
    }

    /// @return true if an instance's registered process is known to be gone
    bool replaced(std::string const& name, std::int64_t born) const;

    std::string const& name() const { return m_own.m_name; }
    std::int64_t born() const { return m_own.m_start_time; }

private:
    struct known_member
    {
        state::member_entry m_entry;
        std::optional<state::time_point> m_missing_since;
    };

    void take_configuration(object_watch::news const& news);
    void take_members(object_watch::news const& news);
    void take_records(object_watch::news const& news);
    void follow_expelled();
    void order_sources();
    bool must_say_closed(state::time_point now);
    bool registered() const;
    void register_if_due(state::time_point now);
    void write_own(std::uint64_t revision);
    void forget_missing(state::time_point now);
    void publish();
    object_watch::state_handler state_logger(char const* what);

    store_client& m_store;
    object_watch m_configuration_watch;
    object_watch m_member_watch;
    object_watch m_record_watch;
    view_handler m_on_view;
    std::function<void()> m_on_records;
    std::shared_ptr<state::configuration const> m_configuration;
    std::map<std::string, known_member> m_members; ///< by id
    state::fleet_records m_records;
    std::map<std::string, state::time_point> m_expelled; ///< by name
    state::time_point m_proven; ///< the records are at least as new as this
    bool m_records_known = false;
    state::instance_entry m_own;
    bool m_writing = false;
    bool m_leaving = false;
    bool m_direct = false; ///< the store's own answers are needed
    std::map<std::string, std::uint64_t> m_asked; ///< revisions, by group
    /// when closing records were first seen, by group, with their revision
    std::map<std::string, std::pair<std::uint64_t, state::time_point>>
        m_closing_seen;
    state::time_point m_last_write;
};

} // namespace camphortide::proxy
