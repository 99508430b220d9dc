#include "group_control.hpp"

#include <algorithm>
#include <utility>

#include <camphortide/proxy/replacement_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::proxy
{

using coordination::promotion_result;
using coordination::replacement_action;
using platform::store_outcome;
using transport::log_part;

namespace
{

/// An orderly closing waits up to 1.5 s at the other side.
constexpr state::duration close_limit{2000};
/// A promotion call is answered within milliseconds.
constexpr state::duration promotion_limit{500};
/// The duty must last beyond a promotion call and its way.
constexpr state::duration promotion_ahead{1000};
/// Least pause between two words about one group; they count for 1.2 s.
constexpr state::duration word_pause{400};
constexpr state::duration word_limit{500};
constexpr state::duration ping_limit{800};

} // namespace

void replacement_control::act(std::string const& name,
                              replacement_action const& action,
                              std::uint64_t revision)
{
    switch (action.m_kind)
    {
    case replacement_action::kind::write_record:
        write_record(name, action.m_record, revision);
        return;
    case replacement_action::kind::request_close:
        ask_close(name, action.m_name, revision);
        return;
    case replacement_action::kind::promote:
        promote(name, action.m_name);
        return;
    }
}

void replacement_control::write_record(std::string const& name,
                                       state::term_record const& record,
                                       std::uint64_t revision)
{
    bool const open = record.m_phase == state::term_phase::open;
    transport::log_info(log_part::group, "writes the term's record",
                        {{"group", name},
                         {"term", record.m_term},
                         {"primary", record.m_primary},
                         {"open", open},
                         {"target", record.m_target},
                         {"orderly", record.m_orderly},
                         {"at_revision", revision}});
    m_store.call(
        platform::write_request(record, revision),
        [name](store_outcome outcome,
               std::optional<platform::http_response> const&)
        {
            // What was written comes back with the records.
            transport::log_info(
                log_part::group, "term's record written",
                {{"group", name}, {"outcome", platform::to_string(outcome)}});
        });
}

http_client& replacement_control::peer(std::string const& address)
{
    auto& place = m_peers[address];
    if (!place)
    {
        place = std::make_shared<http_client>(m_context, address);
    }
    return *place;
}

void replacement_control::ask_close(std::string const& name,
                                    std::string const& instance,
                                    std::uint64_t revision)
{
    auto const& records = m_fleet.records();
    auto const entry = records.m_instances.find(instance);
    auto const term = records.m_terms.find(name);
    if (entry == records.m_instances.end() || term == records.m_terms.end())
    {
        return;
    }
    close_request const request{name, revision,
                                term->second.m_record.m_orderly};
    auto const note = [this, name](close_response const& response)
    {
        auto const place = m_groups.find(name);
        if (place != m_groups.end())
        {
            place->second->m_answers[response.m_instance] = {
                response.m_start_time, response.m_revision};
            tick(state::clock::now());
        }
    };
    if (instance == m_fleet.name())
    {
        m_close_here(request,
                     [this, note, revision] {
                         note({m_fleet.name(), m_fleet.born(), revision});
                     });
        return;
    }
    peer(entry->second.m_record.m_address)
        .call(encode(request), close_limit,
              [note](call_result const& result)
              {
                  if (!result.m_answer)
                  {
                      return; // it is asked again until its permit lapses
                  }
                  if (auto const response =
                          decode_close_response(result.m_answer->m_body))
                  {
                      note(*response);
                  }
              });
}

void replacement_control::promote(std::string const& name,
                                  std::string const& member)
{
    transport::log_info(
        log_part::group, "calls for a promotion",
        {{"group", name}, {"member", member}, {"token", m_lease.token()}});
    m_promotions->call(
        platform::promotion_request(name, member, m_fleet.name(),
                                    m_lease.token()),
        promotion_limit,
        [this, name, member](call_result const& result)
        {
            auto outcome = promotion_result::unknown;
            auto const said = platform::promotion_outcome_of(result.m_answer);
            if (said == platform::promotion_outcome::accepted)
            {
                outcome = promotion_result::accepted;
            }
            else if (said == platform::promotion_outcome::not_running)
            {
                outcome = promotion_result::member_unavailable;
            }
            else if (said == platform::promotion_outcome::try_again ||
                     result.m_failure == call_failure::refused ||
                     result.m_failure == call_failure::withheld)
            {
                outcome = promotion_result::no_effect;
            }
            transport::log_info(
                log_part::group, "promotion answered",
                {{"group", name},
                 {"member", member},
                 {"status", result.m_answer ? result.m_answer->m_status : 0U}});
            auto const place = m_groups.find(name);
            if (place != m_groups.end())
            {
                place->second->m_replacement.promotion_finished(
                    member, outcome, state::clock::now());
            }
        },
        [this] { return m_lease.holds(state::clock::now(), promotion_ahead); });
}

void replacement_control::expel(std::string const& instance)
{
    auto const place = m_fleet.records().m_instances.find(instance);
    if (place == m_fleet.records().m_instances.end())
    {
        return;
    }
    auto record = place->second.m_record;
    record.m_expelled = true;
    transport::log_warning(log_part::membership, "expels a silent instance",
                           {{"instance", instance}});
    m_store.call(
        platform::write_request(record, place->second.m_revision),
        [](store_outcome, std::optional<platform::http_response> const&)
        {
            // The records show whether it was done.
        });
}

void replacement_control::ping(std::string const& name,
                               std::string const& address)
{
    peer(address).call({"GET", ping_path, {}, {}}, ping_limit,
                       [this, name](call_result const& result)
                       {
                           auto const place = m_contacts.find(name);
                           if (result.m_answer && place != m_contacts.end())
                           {
                               place->second.m_answered =
                                   std::max(place->second.m_answered,
                                            state::clock::now());
                           }
                       });
}

void replacement_control::send_word(std::string const& group,
                                    std::string const& member)
{
    auto const now = state::clock::now();
    auto& last = m_words_sent[group];
    auto const& duty = m_fleet.records().m_duty;
    if (now - last < word_pause || !duty)
    {
        return;
    }
    last = now;
    unreachable_word const word{m_fleet.name(), group, member};
    if (duty->m_record.m_holder == m_fleet.name())
    {
        take_word(word);
        return;
    }
    auto const holder =
        m_fleet.records().m_instances.find(duty->m_record.m_holder);
    if (holder != m_fleet.records().m_instances.end())
    {
        peer(holder->second.m_record.m_address)
            .call(encode(word), word_limit,
                  [](call_result const&)
                  {
                      // It is sent again while the primary isn't reached.
                  });
    }
}

} // namespace camphortide::proxy
