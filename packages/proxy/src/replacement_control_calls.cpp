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

/// An orderly closing takes the other instance up to 1.5 s.
constexpr state::duration close_timeout{2000};
/// A promotion request is answered within milliseconds.
constexpr state::duration promotion_timeout{500};
/// Minimum interval between two reports about one group; a report counts for
/// 1.2 s.
constexpr state::duration min_report_interval{400};
constexpr state::duration report_timeout{500};
constexpr state::duration ping_timeout{800};

/// @return where the log of the recorded term begins; empty if that isn't known
std::string begin_of_log(state::term_record const& record)
{
    if (!record.m_history.describes(state::term(record.m_term)))
    {
        return {};
    }
    auto const& start = record.m_history.starts().back();
    return std::to_string(start.m_term.value()) + '.' +
           std::to_string(start.m_first_index);
}

} // namespace

void replacement_control::execute(std::string const& name,
                                  replacement_action const& action,
                                  state::store_revision const& revision)
{
    switch (action.m_kind)
    {
    case replacement_action::kind::write_record:
        write_record(name, action.m_record, revision);
        return;
    case replacement_action::kind::request_close:
        request_close(name, action.m_name, revision);
        return;
    case replacement_action::kind::promote:
        promote(name, action.m_name);
        return;
    case replacement_action::kind::report_given_up_term:
        report_given_up_term(name, action.m_name);
        return;
    }
}

void replacement_control::report_given_up_term(std::string const& name,
                                               std::string const& member)
{
    ++m_given_up_terms[name];
    auto const& record = m_fleet.records().m_terms.at(name).m_record;
    transport::log_error(
        log_part::group,
        "the commits of the last term are given up: no member with its log "
        "has returned",
        {{"group", name},
         {"term", record.m_term},
         {"primary", record.m_primary},
         {"chosen", member},
         {"waited_ms", m_replacement_settings.m_max_log_wait}});
}

void replacement_control::write_record(std::string const& name,
                                       state::term_record const& record,
                                       state::store_revision const& revision)
{
    bool const open = record.m_phase == state::term_phase::open;
    transport::log_info(log_part::group, "writing term record",
                        {{"group", name},
                         {"term", record.m_term},
                         {"primary", record.m_primary},
                         {"open", open},
                         {"target", record.m_target},
                         {"orderly", record.m_orderly},
                         {"log_begins", begin_of_log(record)},
                         {"at_revision", to_string(revision)}});
    m_store.send(
        platform::write_request(record, revision),
        [name](store_outcome outcome,
               std::optional<platform::http_response> const&)
        {
            // The watch of the records returns the written record.
            transport::log_info(
                log_part::group, "term record write completed",
                {{"group", name}, {"outcome", platform::to_string(outcome)}});
        });
}

http_client& replacement_control::peer_client(std::string const& address)
{
    auto& client = m_peers[address];
    if (!client)
    {
        client = std::make_shared<http_client>(m_context, address);
    }
    return *client;
}

void replacement_control::request_close(std::string const& name,
                                        std::string const& instance,
                                        state::store_revision const& revision)
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
    auto const record_answer = [this, name](close_response const& response)
    {
        auto const found = m_groups.find(name);
        if (found != m_groups.end())
        {
            found->second->m_answers[response.m_instance] = {
                response.m_start_time, response.m_revision};
            tick(state::clock::now());
        }
    };
    if (instance == m_fleet.name())
    {
        m_close_primary(
            request,
            [this, record_answer, revision] {
                record_answer({m_fleet.name(), m_fleet.start_time(), revision});
            });
        return;
    }
    peer_client(entry->second.m_record.m_address)
        .send(encode(request), close_timeout,
              [record_answer](request_result const& result)
              {
                  if (!result.m_response)
                  {
                      return; // the request is repeated until the permit lapses
                  }
                  if (auto const response =
                          decode_close_response(result.m_response->m_body))
                  {
                      record_answer(*response);
                  }
              });
}

bool replacement_control::may_promote(std::uint64_t token,
                                      state::time_point now) const
{
    return !m_releasing && token == m_lease.token() &&
           m_lease.holds(now, coordination::promotion_call_lifetime) &&
           now >= m_lease.earlier_calls_until() &&
           m_promotion_calls.allows(token, now);
}

void replacement_control::promote(std::string const& name,
                                  std::string const& member)
{
    auto const token = m_lease.token();
    transport::log_info(
        log_part::group, "requesting promotion",
        {{"group", name}, {"member", member}, {"token", token}});
    m_promotion_client->send(
        platform::promotion_request(name, member, m_fleet.name(), token),
        promotion_timeout,
        [this, name, member](request_result const& result)
        {
            bool const sent =
                result.m_failure != request_failure::not_connected &&
                result.m_failure != request_failure::cancelled;
            if (sent)
            {
                m_promotion_calls.finished(result.m_response.has_value(),
                                           state::clock::now());
            }
            auto outcome = promotion_result::unknown;
            auto const response_outcome =
                platform::promotion_outcome_of(result.m_response);
            if (response_outcome == platform::promotion_outcome::accepted)
            {
                outcome = promotion_result::accepted;
            }
            else if (response_outcome ==
                     platform::promotion_outcome::not_running)
            {
                outcome = promotion_result::member_unavailable;
            }
            else if (response_outcome ==
                         platform::promotion_outcome::try_again ||
                     !sent)
            {
                outcome = promotion_result::no_effect;
            }
            transport::log_info(
                log_part::group, "promotion request completed",
                {{"group", name},
                 {"member", member},
                 {"sent", sent},
                 {"status",
                  result.m_response ? result.m_response->m_status : 0U}});
            auto const found = m_groups.find(name);
            if (found != m_groups.end())
            {
                found->second->m_replacement.promotion_finished(
                    member, outcome, state::clock::now());
            }
        },
        [this, token]
        {
            auto const now = state::clock::now();
            bool const may_send = may_promote(token, now);
            if (may_send)
            {
                m_promotion_calls.sent(token, now);
            }
            return may_send;
        });
}

void replacement_control::expel(std::string const& instance)
{
    auto const found = m_fleet.records().m_instances.find(instance);
    if (found == m_fleet.records().m_instances.end())
    {
        return;
    }
    auto record = found->second.m_record;
    record.m_expelled = true;
    transport::log_warning(log_part::membership,
                           "expelling unresponsive instance",
                           {{"instance", instance}});
    m_store.send(
        platform::write_request(record, found->second.m_revision),
        [](store_outcome, std::optional<platform::http_response> const&)
        {
            // The watch of the records shows the result.
        });
}

void replacement_control::ping(std::string const& name,
                               std::string const& address)
{
    peer_client(address).send(
        {"GET", ping_path, {}, {}}, ping_timeout,
        [this, name](request_result const& result)
        {
            auto const found = m_contacts.find(name);
            if (result.m_response && found != m_contacts.end())
            {
                found->second.m_responded_at =
                    std::max(found->second.m_responded_at, state::clock::now());
            }
        });
}

void replacement_control::send_report(std::string const& group,
                                      std::string const& member)
{
    auto const now = state::clock::now();
    auto& last = m_reports_sent[group];
    auto const& duty = m_fleet.records().m_duty;
    if (now - last < min_report_interval || !duty)
    {
        return;
    }
    last = now;
    unreachable_report const report{m_fleet.name(), group, member};
    if (duty->m_record.m_holder == m_fleet.name())
    {
        note_report(report);
        return;
    }
    auto const holder =
        m_fleet.records().m_instances.find(duty->m_record.m_holder);
    if (holder != m_fleet.records().m_instances.end())
    {
        peer_client(holder->second.m_record.m_address)
            .send(encode(report), report_timeout,
                  [](request_result const&)
                  {
                      // The report is repeated while the primary is
                      // unreachable.
                  });
    }
}

} // namespace camphortide::proxy
