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

/// Keeps an instance's catalogue at the newest version that it can learn of.
/// A few instances in each data centre watch the store; the others get
/// versions from peers. Only higher versions are put in force. An instance
/// that just started puts none in force before it knows from the store, or
/// from its peers, which version is the newest.
///
/// Call `tick` at least every 100 ms and carry the actions out.
class catalogue_follower
{
public:
    using actions = std::vector<follower_action>;

    /// @param settings times and bounds
    /// @param self the own name
    /// @param codec checks digests; outlives the follower
    /// @param seed of jitter and of the choice of peers
    /// @param now the time
    catalogue_follower(catalogue_follower_settings const& settings,
                       std::string self, catalogue_codec const& codec,
                       std::uint64_t seed, state::time_point now);

    /// Takes a new view of the instances.
    /// @param view all that are known, this one too
    /// @param joined true if the view is more than this instance, or if there
    ///     are no others
    void on_view(std::span<state::instance_record const> view, bool joined);

    /// Lets time pass.
    /// @return what to do
    actions tick(state::time_point now);

    /// Takes the head's object, from a read or a watch.
    /// @param parts the object's value; none if there is no such object
    /// @return what to do
    actions on_store_head(std::optional<catalogue_parts> parts,
                          state::time_point now);

    /// Takes a chunk's object.
    /// @param chunk the name that was asked for
    /// @param bytes the value; null if there is no such object
    /// @return what to do
    actions on_store_chunk(std::string const& chunk, chunk_bytes bytes,
                           state::time_point now);

    /// Takes the failure of any call of the store, or the end of the watch.
    /// @return what to do
    actions on_store_failed(state::time_point now);

    /// Takes an offer, or the version that a heartbeat carried.
    /// @param peer the sender
    /// @return what to do
    actions on_offer(std::string const& peer, catalogue_offer const& offer,
                     state::time_point now);

    /// Takes a request for parts.
    /// @param peer the sender
    /// @return what to do
    actions on_request(std::string const& peer,
                       catalogue_request const& request);

    /// Takes parts from a peer.
    /// @param peer the sender
    /// @return what to do
    actions on_parts(std::string const& peer, catalogue_parts parts,
                     state::time_point now);

    /// @return the version in force; 0 if none
    std::uint64_t version() const { return m_head.m_version; }

    /// @return true if a version is in force
    bool ready() const { return m_head.m_version > 0; }

    /// @return true if this instance is to watch the store, from the call of
    ///     `on_view` that chose it on
    bool is_watcher() const
    {
        return m_is_chosen && (m_joined || m_is_watcher);
    }

    /// @return how many instances watch the store, in this one's view
    std::size_t watchers() const { return m_watchers; }

    /// @return how long ago the store confirmed the version in force
    state::duration confirmed_age(state::time_point now) const;

    /// @return true if the latest call of the store failed, and no peer that
    ///     an instance without a watch relies on has had an answer since
    bool store_failing() const { return m_failures > 0; }

    /// @return true if the store showed an older version than the one in
    ///     force, which only a damaged or restored store does
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
    std::vector<std::string> m_peers; ///< live ones but this
    bool m_joined = false;
    bool m_is_watcher = false;
    std::size_t m_watchers = 1;

    state::catalogue_head m_head;                  ///< in force
    chunk_map m_chunks;                            ///< of the head in force
    std::optional<state::catalogue_head> m_target; ///< being put together
    chunk_map m_collected;                         ///< of the target

    bool m_min_version_known =
        false; ///< the newest version is known to be known
    std::uint64_t m_min_version = 0; ///< what the gate asks for
    std::map<std::string, std::uint64_t> m_survey_answers; ///< of the survey
    state::time_point m_started;
    state::time_point m_next_survey;

    std::vector<peer_offer> m_offers; ///< of versions that are not here yet
    std::string m_requested_peer;     ///< empty: no request outstanding
    state::time_point m_request_sent;

    bool m_is_chosen = false;   ///< as a watcher, by the view
    bool m_is_watching = false; ///< a watch is thought to run
    bool m_is_reading = false;  ///< a read of the head is outstanding
    bool m_store_behind = false;
    state::time_point m_read_sent;
    state::time_point m_next_read;
    state::time_point m_next_chunks;
    std::map<std::string, state::time_point> m_chunk_reads_sent;
    std::optional<state::time_point> m_confirmed;
    state::time_point m_target_since;
    state::time_point m_last_failure; ///< when a call of the store failed last
    unsigned m_failures = 0;
};

} // namespace camphortide::coordination
