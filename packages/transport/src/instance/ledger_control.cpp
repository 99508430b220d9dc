#include <utility>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/protocol/share_conversion.hpp>
#include <camphortide/transport/instance/ledger_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::transport
{

namespace
{

/// Prefix of the names of the ledgers' objects.
constexpr std::string_view ledger_prefix = "limits/";

using object_result = absl::StatusOr<platform_object>;

std::string object_name(std::string const& group)
{
    return std::string(ledger_prefix) + group;
}

void process_read(coordination::share_manager& manager, std::uint64_t number,
                  object_result const& result, state::time_point now)
{
    if (failure_of(result.status()) == platform_failure::not_found)
    {
        manager.read_done(number, {}, 0, now);
        return;
    }
    auto const ledger = result.ok()
                            ? protocol::decode_share_ledger(result->m_value)
                            : std::nullopt;
    if (!ledger)
    {
        if (result.ok())
        {
            log_error(log_part::limits, "A ledger of shares is damaged.",
                      {{"object", result->m_name}});
        }
        manager.call_failed(number, now);
        return;
    }
    manager.read_done(number, *ledger, result->m_version, now);
}

void process_write(coordination::share_manager& manager, std::uint64_t number,
                   object_result const& result, state::time_point now)
{
    if (result.ok())
    {
        manager.write_done(number, result->m_version, now);
        return;
    }
    if (failure_of(result.status()) == platform_failure::conflict)
    {
        manager.write_conflict(number, now);
        return;
    }
    manager.call_failed(number, now);
}

/// Derives a home's jitter in [0, 1) from a hash of the holder and the group,
/// so that the homes' calls are spread over time.
double jitter_of(coordination::holder_id const& holder,
                 std::string const& group)
{
    constexpr std::uint64_t parts = 1000;
    auto const hash = coordination::hash_name(
        holder.m_instance + "/" + std::to_string(holder.m_incarnation) + "/" +
        group);
    return static_cast<double>(hash % parts) / static_cast<double>(parts);
}

} // namespace

ledger_control::ledger_control(coordination::holder_id self,
                               state::duration max_leave_time,
                               platform_client* platform,
                               std::shared_ptr<control_loop> loop)
    : m_self(self),
      m_platform(platform),
      m_loop(std::move(loop)),
      m_holder_monitor(std::move(self), max_leave_time)
{
}

void ledger_control::assign_holder(group_gateway& gateway)
{
    auto holder = m_self;
    holder.m_incarnation += m_gateway_counts[gateway.name()]++;
    auto const jitter = jitter_of(holder, gateway.name());
    gateway.with_shares([&](share_control& shares)
                        { shares.set_holder(holder, jitter); });
}

bool ledger_control::tick(std::shared_ptr<group_gateway> const& gateway,
                          bool leaving, state::time_point now)
{
    if (m_platform == nullptr)
    {
        return true;
    }
    std::optional<coordination::ledger_call> next;
    bool left = true;
    gateway->with_shares(
        [&](share_control& shares)
        {
            auto* const manager = shares.manager();
            if (manager == nullptr)
            {
                return;
            }
            leaving ? manager->leave() : manager->rejoin();
            if (m_last_contact)
            {
                manager->set_contact(*m_last_contact);
            }
            manager->set_gone(m_holder_monitor.gone(manager->ledger(), now));
            next = shares.step();
            left = manager->left();
        });
    if (next)
    {
        start_call(gateway, *next);
    }
    return left;
}

void ledger_control::start_call(std::shared_ptr<group_gateway> const& gateway,
                                coordination::ledger_call const& call)
{
    auto const done = [loop = m_loop,
                       target = std::weak_ptr<group_gateway>(gateway),
                       number = call.m_number,
                       write = call.m_write](object_result const& result)
    {
        auto const now = state::clock::now();
        loop->post(
            [target, number, write, result, now]
            {
                auto const live = target.lock();
                if (!live)
                {
                    return;
                }
                live->with_shares(
                    [&](share_control& shares)
                    {
                        auto const process =
                            write ? process_write : process_read;
                        if (auto* const manager = shares.manager())
                        {
                            process(*manager, number, result, now);
                            shares.request_step();
                        }
                    });
            });
    };
    auto const name = object_name(gateway->name());
    if (call.m_write)
    {
        m_platform->put(name, call.m_if_version,
                        protocol::encode(call.m_ledger), done);
        return;
    }
    m_platform->get(name, done);
}

} // namespace camphortide::transport
