#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/catalogue_follower_settings.hpp>
#include <camphortide/coordination/fleet/catalogue_messages.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/state/instance_record.hpp>

namespace camphortide::coordination
{

/// Keeps an instance's catalogue at the newest version it can obtain. A few
/// instances in each data centre watch the store; the others receive versions
/// from peers. A version is put in force only if it is higher than the current
/// one. After a start no version is put in force until the store or the peers
/// have shown which version is the newest.
///
/// Call `tick` at least every 100 ms and carry out the returned actions.
class catalogue_follower
{
public:
    using actions = std::vector<follower_action>;

    /// @param settings times and bounds
    /// @param self the name of this instance
    /// @param codec checks digests; must outlive the follower
    /// @param seed of the jitter and the choice of peers
    /// @param now the current time
    catalogue_follower(catalogue_follower_settings const& settings,
                       std::string self, catalogue_codec const& codec,
                       std::uint64_t seed, state::time_point now);

    /// Updates the view of the instances.
    /// @param view all instances, including this one
    /// @param joined true if the view is the fleet's: a peer has sent its view,
    ///     or there are no other instances
    void on_view(std::span<state::instance_record const> view, bool joined);

    /// Starts what is due.
    /// @return actions to carry out
    actions tick(state::time_point now);

    /// Handles the head's object, from a read or a watch.
    /// @param parts its value; none if it does not exist
    /// @return actions to carry out
    actions on_store_head(std::optional<catalogue_parts> parts,
                          state::time_point now);

    /// Handles a chunk's object.
    /// @param chunk the name that was requested
    /// @param bytes its value; null if it does not exist
    /// @return actions to carry out
    actions on_store_chunk(std::string const& chunk, chunk_bytes bytes,
                           state::time_point now);

    /// Handles a failed call of the store or the end of the watch.
    /// @return actions to carry out
    actions on_store_failed(state::time_point now);

    /// Handles an offer, or the version that a heartbeat carried.
    /// @param peer the sender
    /// @return actions to carry out
    actions on_offer(std::string const& peer, catalogue_offer const& offer,
                     state::time_point now);

    /// Handles a request for parts.
    /// @param peer the sender
    /// @return actions to carry out
    actions on_request(std::string const& peer,
                       catalogue_request const& request);

    /// Handles parts from a peer.
    /// @param peer the sender
    /// @return actions to carry out
    actions on_parts(std::string const& peer, catalogue_parts parts,
                     state::time_point now);

    /// @return the version in force; 0 if none
    std::uint64_t version() const { return m_head.m_version; }

    /// @return true if a version is in force
    bool ready() const { return m_head.m_version > 0; }

    /// @return true if this instance should watch the store. Changes with the
    ///     call of `on_view` that selects or deselects it
    bool is_watcher() const
    {
        return m_is_chosen && (m_joined || m_is_watcher);
    }

    /// @return the number of instances that watch the store, by this instance's
    ///     view
    std::size_t watchers() const { return m_watchers; }

    /// @return the time since the store confirmed the version in force
    state::duration confirmed_age(state::time_point now) const;

    /// @return true if the latest call of the store failed and no peer has
    ///     reported a later confirmation by the store; peers count only for an
    ///     instance that doesn't watch the store
    bool store_failing() const { return m_failures > 0; }

    /// @return true if the store's version is older than the one in force,
    ///     which happens only if the store was damaged or restored
    bool store_behind() const { return m_store_behind; }

private:
    struct peer_offer
    {
        std::string m_peer;
        std::uint64_t m_version = 0;
    };

    void merge_parts(catalogue_parts parts);
    bool merge_chunk(std::string const& name, chunk_bytes bytes);
    std::vector<std::string> missing_chunks() const;
    void advance(actions& out, state::time_point now);
    void apply(actions& out, state::time_point now);
    void request_from_peer(actions& out, state::time_point now);
    void forget_offers(std::string const& peer);
    void read_head(actions& out, state::time_point now);
    void read_chunks(actions& out, state::time_point now);
    void send_survey(actions& out, state::time_point now);
    void evaluate_survey(state::time_point now);
    void update_role(actions& out, state::time_point now);
    void schedule_read(state::time_point now);
    state::duration jittered(state::duration mean);
    std::vector<std::string> random_peers(std::size_t count);
    catalogue_offer make_offer(bool wants_answer, state::time_point now) const;
    std::uint64_t latest_version() const;

    catalogue_follower_settings m_settings;
    std::string m_self;
    catalogue_codec const& m_codec;
    seeded_sequence m_random;
    std::vector<std::string> m_peers; ///< live peers
    bool m_joined = false;
    bool m_is_watcher = false;
    std::size_t m_watchers = 1;

    state::catalogue_head m_head; ///< in force
    chunk_map m_chunks;           ///< of the head in force
    /// Newer head whose chunks are being collected.
    std::optional<state::catalogue_head> m_target;
    chunk_map m_collected; ///< chunks of `m_target`

    /// False after a start, until `m_min_version` is known.
    bool m_min_version_known = false;
    /// Lowest version that may be put in force.
    std::uint64_t m_min_version = 0;
    /// Version in force at each peer.
    std::map<std::string, std::uint64_t> m_survey_answers;
    state::time_point m_started;
    state::time_point m_next_survey;

    /// Of versions newer than the one in force.
    std::vector<peer_offer> m_offers;
    std::string m_requested_peer; ///< empty: no request outstanding
    state::time_point m_request_sent;

    bool m_is_chosen = false;   ///< the view selects this instance as a watcher
    bool m_is_watching = false; ///< a watch was started and hasn't failed
    bool m_is_reading = false;  ///< a read of the head is outstanding
    bool m_store_behind = false;
    state::time_point m_read_sent;
    state::time_point m_next_read;
    state::time_point m_next_chunks;
    std::map<std::string, state::time_point> m_chunk_reads_sent;
    std::optional<state::time_point> m_confirmed;
    state::time_point m_target_since;
    state::time_point m_last_failure; ///< latest failed call of the store
    unsigned m_failures = 0;
};

} // namespace camphortide::coordination
