#include "replacement_world.hpp"

#include <algorithm>

namespace replacement_explorer
{

using coordination::replacement_action;

namespace
{

constexpr int instances = 3;
constexpr int members = 3;
constexpr int tick_ms = 40;
constexpr int promotion_ms = 600;
constexpr char const* group = "g";

std::string numbered(char letter, int number)
{
    std::string name(1, letter);
    return name += std::to_string(number);
}

state::duration ms(int value)
{
    return state::duration(value);
}

} // namespace

struct world::member
{
    std::string m_id;
    bool m_up = true;
    bool m_leads = false;
    std::uint64_t m_term = 1;
    std::uint64_t m_index = 0;
    time_point m_alone_until; ///< cut off from the other members
};

struct world::instance
{
    int m_index = 0;
    std::uint64_t m_life = 0;
    std::string m_name;
    bool m_up = true;
    time_point m_frozen_until;
    time_point m_no_store_until;
    time_point m_no_peers_until;
    std::map<int, time_point> m_no_member_until;
    coordination::primary_permit m_permit;
    std::unique_ptr<coordination::duty_lease> m_lease;
    std::unique_ptr<coordination::replacement> m_replacement;
    coordination::primary_watch m_watch = coordination::primary_watch();
    std::uint64_t m_watched = 0;
    std::uint64_t m_target_token = 0; ///< under which it chose a target
    state::fleet_records m_records;
    bool m_known = false;
    time_point m_last_read;
    time_point m_last_own_write;
    std::map<std::string, coordination::closing_answer> m_answers;
    std::map<std::string, coordination::reported_member> m_reports;
};

world::world(std::uint64_t seed, left_out variant)
    : m_variant(variant),
      m_random(seed),
      m_now(ms(1000000))
{
    for (int i = 0; i < members; ++i)
    {
        m_members.push_back(std::make_unique<member>());
        m_members.back()->m_id = numbered('m', i);
    }
    m_members[0]->m_leads = true;
    for (int i = 0; i < instances; ++i)
    {
        m_instances.push_back(std::make_unique<instance>());
        m_instances.back()->m_index = i;
        m_instances.back()->m_name = numbered('i', i);
        start_instance(i);
    }
}

world::~world() = default;

int world::draw(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(m_random);
}

bool world::chance(double part)
{
    return std::bernoulli_distribution(part)(m_random);
}

void world::after(int delay, task run)
{
    m_queue.push({m_now + ms(delay), ++m_events, std::move(run)});
}

void world::at_instance(int index, std::uint64_t life, int delay,
                        std::function<void(instance&)> const& run)
{
    after(delay,
          [this, index, life, run]
          {
              auto& self = *m_instances[static_cast<std::size_t>(index)];
              if (!self.m_up || self.m_life != life)
              {
                  return;
              }
              if (m_now < self.m_frozen_until)
              {
                  auto const left = self.m_frozen_until - m_now;
                  at_instance(index, life, static_cast<int>(left.count()), run);
                  return;
              }
              run(self);
          });
}

void world::start_instance(int index)
{
    auto& place = *m_instances[static_cast<std::size_t>(index)];
    auto const life = place.m_life + 1;
    auto const name = place.m_name;
    place = instance{};
    place.m_index = index;
    place.m_life = life;
    place.m_name = name;
    place.m_lease = std::make_unique<coordination::duty_lease>(
        name, static_cast<std::int64_t>(life));
    place.m_replacement = std::make_unique<coordination::replacement>();
    at_instance(index, life, draw(1, 100),
                [this](instance& self) { read_store(self); });
    at_instance(index, life, draw(1, tick_ms),
                [this](instance& self) { tick(self); });
    at_instance(index, life, draw(1, 50),
                [this](instance& self) { call_primary(self); });
}

void world::store_call(
    instance& self, std::function<bool(std::uint64_t)> const& apply,
    std::function<void(instance&, std::optional<std::uint64_t>)> const& done)
{
    auto const index = self.m_index;
    auto const life = self.m_life;
    bool const reached = m_store_up && m_now >= self.m_no_store_until;
    if (!reached)
    {
        at_instance(index, life, draw(5, 800),
                    [done](instance& later) { done(later, std::nullopt); });
        return;
    }
    bool const lost = chance(0.03);
    int const way = lost && chance(0.5) ? draw(500, 6000) : draw(2, 8);
    after(way,
          [this, index, life, apply, done, lost]
          {
              bool const changed = apply(m_revision + 1);
              auto const revision = changed ? ++m_revision : 0;
              if (!lost)
              {
                  at_instance(index, life, draw(2, 8),
                              [done, revision](instance& later) {
                                  done(later, revision == 0
                                                  ? std::nullopt
                                                  : std::optional(revision));
                              });
              }
          });
    if (lost)
    {
        at_instance(index, life, 800,
                    [done](instance& later) { done(later, std::nullopt); });
    }
}

void world::read_store(instance& self)
{
    bool const reached = m_store_up && m_now >= self.m_no_store_until;
    at_instance(self.m_index, self.m_life, reached ? draw(250, 500) : 100,
                [this](instance& later) { read_store(later); });
    if (reached)
    {
        ask_store(self);
    }
}

void world::ask_store(instance& self)
{
    auto const index = self.m_index;
    auto const life = self.m_life;
    auto const asked = m_now;
    after(draw(2, 60),
          [this, index, life, asked]
          {
              auto const records = m_records;
              at_instance(index, life, draw(2, 60),
                          [this, records, asked](instance& later)
                          {
                              auto const proven =
                                  m_variant == left_out::proof_from_sending
                                      ? m_now
                                      : asked;
                              take_records(later, records, proven);
                          });
          });
}

void world::take_records(instance& self, state::fleet_records const& records,
                         time_point asked)
{
    if (self.m_known && asked < self.m_last_read)
    {
        return;
    }
    self.m_known = true;
    self.m_last_read = asked;
    self.m_records = records;
    auto const own = records.m_instances.find(self.m_name);
    bool const registered = own != records.m_instances.end() &&
                            !own->second.m_record.m_expelled &&
                            own->second.m_record.m_start_time ==
                                static_cast<std::int64_t>(self.m_life);
    bool gone = false;
    if (records.m_duty)
    {
        auto const holder =
            records.m_instances.find(records.m_duty->m_record.m_holder);
        gone = holder != records.m_instances.end() &&
               holder->second.m_record.m_start_time >
                   records.m_duty->m_record.m_start_time;
    }
    self.m_lease->observe(records.m_duty, gone, m_now);
    auto const term = records.m_terms.find(group);
    if (term == records.m_terms.end())
    {
        return;
    }
    auto const& record = term->second.m_record;
    bool const open = record.m_phase == state::term_phase::open;
    self.m_permit.renew({record.m_term, record.m_primary, open && registered,
                         !open, false, term->second.m_revision, asked});
    if (!open)
    {
        self.m_permit.close(term->second.m_revision);
    }
}

void world::write_duty(instance& self, coordination::duty_write const& write)
{
    store_call(
        self,
        [this, write](std::uint64_t revision)
        {
            auto const at = m_records.m_duty ? m_records.m_duty->m_revision : 0;
            if (at != write.m_revision)
            {
                return false;
            }
            m_records.m_duty = {write.m_record, revision};
            return true;
        },
        [this](instance& later, std::optional<std::uint64_t> revision)
        { later.m_lease->written(revision, m_now); });
}

void world::write_own(instance& self)
{
    if (m_now - self.m_last_own_write < ms(300))
    {
        return;
    }
    self.m_last_own_write = m_now;
    auto const known = self.m_records.m_instances.find(self.m_name);
    auto const at = known == self.m_records.m_instances.end()
                        ? 0
                        : known->second.m_revision;
    state::instance_entry const entry{
        self.m_name, static_cast<std::int64_t>(self.m_life), "", "", false, {},
        ""};
    store_call(
        self,
        [this, entry, at](std::uint64_t revision)
        {
            auto const place = m_records.m_instances.find(entry.m_name);
            auto const now = place == m_records.m_instances.end()
                                 ? 0
                                 : place->second.m_revision;
            if (now != at)
            {
                return false;
            }
            m_records.m_instances[entry.m_name] = {entry, revision};
            return true;
        },
        [](instance&, std::optional<std::uint64_t>) {});
}

void world::write_term(instance& self, state::term_record const& record,
                       std::uint64_t at)
{
    store_call(
        self,
        [this, record, at](std::uint64_t revision)
        {
            auto const place = m_records.m_terms.find(group);
            auto const now =
                place == m_records.m_terms.end() ? 0 : place->second.m_revision;
            if (now != at)
            {
                return false;
            }
            m_records.m_terms[group] = {record, revision};
            return true;
        },
        [](instance&, std::optional<std::uint64_t>) {});
}

bool world::reaches(instance const& from, int index) const
{
    auto const cut = from.m_no_member_until.find(index);
    return m_members[static_cast<std::size_t>(index)]->m_up &&
           (cut == from.m_no_member_until.end() || m_now >= cut->second);
}

void world::probe(instance& self)
{
    for (int i = 0; i < members; ++i)
    {
        if (!reaches(self, i))
        {
            continue;
        }
        auto const asked = m_now;
        auto const index = self.m_index;
        auto const life = self.m_life;
        after(draw(1, 5),
              [this, i, asked, index, life]
              {
                  auto const& from = *m_members[static_cast<std::size_t>(i)];
                  coordination::reported_member value;
                  value.m_entry.m_id = from.m_id;
                  value.m_asked = asked;
                  value.m_report = state::member_report{
                      from.m_leads,
                      from.m_term,
                      {state::term(from.m_term), from.m_index},
                      0,
                      0,
                      0,
                      0};
                  at_instance(index, life, draw(1, 5),
                              [this, value](instance& later)
                              {
                                  later.m_reports[value.m_entry.m_id] = value;
                                  auto const term =
                                      later.m_records.m_terms.find(group);
                                  if (term != later.m_records.m_terms.end() &&
                                      term->second.m_record.m_primary ==
                                          value.m_entry.m_id)
                                  {
                                      later.m_watch.note_answer(m_now);
                                  }
                              });
              });
    }
}

void world::tick(instance& self)
{
    at_instance(self.m_index, self.m_life, tick_ms,
                [this](instance& later) { tick(later); });
    if (!self.m_known)
    {
        return;
    }
    if (auto const write = self.m_lease->step(m_now))
    {
        write_duty(self, *write);
    }
    auto const own = self.m_records.m_instances.find(self.m_name);
    if (own == self.m_records.m_instances.end() ||
        own->second.m_record.m_start_time !=
            static_cast<std::int64_t>(self.m_life) ||
        own->second.m_record.m_expelled)
    {
        write_own(self);
    }
    bool const holds = self.m_lease->holds(m_now);
    if (holds)
    {
        probe(self);
    }
    auto const term = self.m_records.m_terms.find(group);
    if (term == self.m_records.m_terms.end())
    {
        if (holds && self.m_reports.contains("m0"))
        {
            write_term(self,
                       {group, 1, "m0", state::term_phase::open, false, 0, {}},
                       0);
        }
        return;
    }
    if (self.m_watched != term->second.m_revision)
    {
        self.m_watched = term->second.m_revision;
        self.m_watch.begin(m_now);
        self.m_answers.clear();
    }
    self.m_watch.tick(m_now);
    coordination::replacement_facts facts;
    facts.m_record = term->second;
    facts.m_instances = self.m_records.m_instances;
    facts.m_answers = self.m_answers;
    if (m_variant == left_out::wait_for_silent)
    {
        for (auto const& entry : facts.m_instances)
        {
            facts.m_answers[entry.first] = {entry.second.m_record.m_start_time,
                                            term->second.m_revision};
        }
    }
    for (auto const& entry : self.m_reports)
    {
        facts.m_members.push_back(entry.second);
    }
    bool const lost = self.m_watch.judge(instances, m_now) !=
                      coordination::primary_loss::none;
    facts.m_reason = lost ? coordination::replacement_reason::lost
                          : coordination::replacement_reason::none;
    facts.m_holds_duty = holds;
    facts.m_now = m_now;
    facts.m_token = self.m_lease->token();
    if (m_variant == left_out::claim)
    {
        facts.m_record.m_record.m_token = facts.m_token;
    }
    if (m_variant == left_out::target &&
        self.m_target_token != self.m_lease->token())
    {
        facts.m_record.m_record.m_target.clear();
    }
    for (auto const& action : self.m_replacement->step(facts))
    {
        act(self, action);
    }
}

void world::act(instance& self, replacement_action const& action)
{
    auto const& term = self.m_records.m_terms.at(group);
    switch (action.m_kind)
    {
    case replacement_action::kind::write_record:
        if (!action.m_record.m_target.empty())
        {
            self.m_target_token = self.m_lease->token();
        }
        write_term(self, action.m_record, term.m_revision);
        return;
    case replacement_action::kind::ask_close:
        ask_close(self, action.m_name);
        return;
    case replacement_action::kind::promote:
        promote(self, action.m_name);
        return;
    }
}

void world::ask_close(instance& self, std::string const& name)
{
    auto const revision = self.m_records.m_terms.at(group).m_revision;
    auto const index = self.m_index;
    auto const life = self.m_life;
    for (auto const& other : m_instances)
    {
        bool const cut =
            m_now < self.m_no_peers_until || m_now < other->m_no_peers_until;
        if (other->m_name != name || (cut && other->m_index != self.m_index))
        {
            continue;
        }
        at_instance(other->m_index, other->m_life, draw(1, 10),
                    [this, revision, index, life](instance& asked)
                    {
                        asked.m_permit.close(revision);
                        coordination::closing_answer const answer{
                            static_cast<std::int64_t>(asked.m_life), revision};
                        at_instance(
                            index, life, draw(1, 10),
                            [answer, from = asked.m_name](instance& later)
                            { later.m_answers[from] = answer; });
                    });
    }
}

void world::promote(instance& self, std::string const& name)
{
    if (!self.m_lease->holds(m_now, ms(1000)))
    {
        self.m_replacement->promoted(
            name, coordination::promotion_result::nothing_done, m_now);
        return;
    }
    auto const token = self.m_lease->token();
    if (chance(0.15))
    {
        // Whoever acted last is struck first.
        after(draw(1, 300),
              [this, index = self.m_index, life = self.m_life]
              {
                  auto& caller = *m_instances[static_cast<std::size_t>(index)];
                  if (caller.m_up && caller.m_life == life)
                  {
                      stop_instance(caller);
                  }
              });
    }
    after(chance(0.3) ? draw(20, 500) : draw(1, 20),
          [this, token, name, index = self.m_index, life = self.m_life]
          {
              at_instance(index, life, draw(1, 20),
                          [this, name](instance& later)
                          {
                              later.m_replacement->promoted(
                                  name,
                                  coordination::promotion_result::accepted,
                                  m_now);
                          });
              m_findings.m_tokens += token < m_highest_token ? 1 : 0;
              m_highest_token = std::max(m_highest_token, token);
              after(promotion_ms,
                    [this, name]
                    {
                        for (int i = 0; i < members; ++i)
                        {
                            auto& chosen =
                                *m_members[static_cast<std::size_t>(i)];
                            if (chosen.m_id != name || !chosen.m_up ||
                                m_leader == i)
                            {
                                continue;
                            }
                            m_members[static_cast<std::size_t>(m_leader)]
                                ->m_alone_until = m_now + ms(draw(0, 15000));
                            m_leader = i;
                            chosen.m_leads = true;
                            chosen.m_term = ++m_term;
                            // What it had not received is gone.
                            m_acknowledged =
                                std::min(m_acknowledged, chosen.m_index);
                            ++m_findings.m_promotions;
                        }
                    });
          });
}

void world::replicate()
{
    auto const& leader = *m_members[static_cast<std::size_t>(m_leader)];
    for (int i = 0; i < members; ++i)
    {
        auto& each = *m_members[static_cast<std::size_t>(i)];
        if (i == m_leader || !each.m_up || !leader.m_up)
        {
            continue;
        }
        // An old primary learns of the new one only once it reaches it.
        if (m_now < each.m_alone_until)
        {
            continue;
        }
        each.m_leads = false;
        if (chance(0.3))
        {
            each.m_term = leader.m_term;
            each.m_index = leader.m_index;
        }
    }
    after(20, [this] { replicate(); });
}

void world::call_primary(instance& self)
{
    auto const index = self.m_index;
    auto const life = self.m_life;
    at_instance(index, life, draw(5, 60),
                [this](instance& later) { call_primary(later); });
    auto const standing = self.m_permit.standing();
    if (!self.m_permit.allows(m_now))
    {
        return;
    }
    int target = 0;
    for (int i = 0; i < members; ++i)
    {
        if (m_members[static_cast<std::size_t>(i)]->m_id == standing.m_primary)
        {
            target = i;
        }
    }
    if (!reaches(self, target))
    {
        return;
    }
    bool const writes = chance(0.5);
    auto const known = m_acknowledged;
    // Some are held up on the way.
    after(chance(0.01) ? draw(500, 15000) : draw(1, 40),
          [this, index, life, target, writes, known,
           revision = standing.m_revision]
          {
              auto& at = *m_members[static_cast<std::size_t>(target)];
              if (!at.m_up || (writes && !at.m_leads))
              {
                  return;
              }
              at.m_index += writes ? 1 : 0;
              auto const held = at.m_index;
              bool const superseded = target != m_leader;
              auto const term = m_term;
              at_instance(
                  index, life, draw(1, 40),
                  [this, writes, known, held, superseded, revision,
                   term](instance& later)
                  {
                      bool const permitted =
                          later.m_permit.still_allows(revision, m_now);
                      if (!permitted && m_variant != left_out::permit_at_answer)
                      {
                          return;
                      }
                      ++m_findings.m_acknowledged;
                      if (writes)
                      {
                          m_findings.m_superseded += superseded ? 1 : 0;
                          if (!superseded && term == m_term)
                          {
                              m_acknowledged = std::max(m_acknowledged, held);
                          }
                          return;
                      }
                      // What a promotion rolled back doesn't count.
                      auto const owed = std::min(known, m_acknowledged);
                      m_findings.m_stale += held < owed ? 1 : 0;
                  });
          });
}

void world::stop_instance(instance& victim)
{
    if (auto const write = victim.m_lease->release(); write && chance(0.7))
    {
        write_duty(victim, *write);
    }
    victim.m_up = false;
    after(draw(100, 2000),
          [this, index = victim.m_index] { start_instance(index); });
}

void world::make_trouble()
{
    after(draw(200, 2500), [this] { make_trouble(); });
    auto& victim =
        *m_instances[static_cast<std::size_t>(draw(0, instances - 1))];
    int const length = draw(200, 12000);
    switch (draw(0, 10))
    {
    case 0:
        m_store_up = false;
        after(draw(200, 5000), [this] { m_store_up = true; });
        break;
    case 1:
        victim.m_frozen_until = m_now + ms(draw(200, 20000));
        break;
    case 9:
    case 10:
        // Long enough for its permit to lapse while the others go on, and
        // while an answer of the store is on its way.
        if (victim.m_up)
        {
            ask_store(victim);
        }
        victim.m_frozen_until = m_now + ms(draw(10500, 16000));
        for (auto const& each : m_instances)
        {
            each->m_no_member_until[m_leader] = m_now + ms(draw(1000, 9000));
        }
        victim.m_no_member_until.clear();
        break;
    case 2:
        victim.m_no_store_until = m_now + ms(length);
        break;
    case 3:
        victim.m_no_peers_until = m_now + ms(length);
        break;
    case 4:
        victim.m_no_member_until[m_leader] = m_now + ms(length);
        break;
    case 5:
    case 6:
        stop_instance(victim);
        break;
    default:
    {
        auto const index = static_cast<std::size_t>(m_leader);
        m_members[index]->m_up = false;
        after(draw(300, 6000),
              [this, index] { m_members[index]->m_up = true; });
        break;
    }
    }
}

findings world::run(state::duration length)
{
    auto const end = m_now + length;
    after(4000, [this] { make_trouble(); });
    after(20, [this] { replicate(); });
    while (!m_queue.empty() && m_queue.top().m_at < end)
    {
        auto const next = m_queue.top();
        m_queue.pop();
        m_now = next.m_at;
        next.m_run();
    }
    return m_findings;
}

} // namespace replacement_explorer
