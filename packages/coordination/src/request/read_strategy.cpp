#include <algorithm>
#include <array>
#include <functional>

#include <camphortide/coordination/request/read_strategy.hpp>

namespace camphortide::coordination
{

namespace
{

/// Weight of the primary's expected time against that of a replica.
constexpr int primary_weight = 4;

read_choice send_to(read_candidate const& candidate)
{
    return {read_choice::action::send, candidate.m_member, {}, {}};
}

read_choice wait_until(state::time_point time)
{
    return {read_choice::action::wait, 0, time, {}};
}

std::optional<read_choice> send_to_primary(read_options const& options)
{
    if (!options.m_primary)
    {
        return std::nullopt;
    }
    return send_to(*options.m_primary);
}

/// The least loaded covering replica; the random number breaks ties.
read_candidate const* least_loaded(read_options const& options)
{
    read_candidate const* best = nullptr;
    auto const count = options.m_replicas.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& candidate =
            options.m_replicas[(options.m_random + i) % count];
        if (candidate.m_covers &&
            (!best || candidate.m_service < best->m_service))
        {
            best = &candidate;
        }
    }
    return best;
}

/// The replica that is expected to cover the read first, in time.
read_candidate const* earliest_to_cover(read_options const& options)
{
    read_candidate const* best = nullptr;
    for (auto const& candidate : options.m_replicas)
    {
        bool const in_time = candidate.m_covers_at &&
                             *candidate.m_covers_at <= options.m_wait_until;
        if (in_time && (!best || *candidate.m_covers_at < *best->m_covers_at))
        {
            best = &candidate;
        }
    }
    return best;
}

class primary_only final : public read_strategy
{
public:
    std::optional<read_choice>
    choose(read_options const& options) const override
    {
        return send_to_primary(options);
    }

    std::string_view name() const override { return "primary_only"; }
};

class random_replica final : public read_strategy
{
public:
    std::optional<read_choice>
    choose(read_options const& options) const override
    {
        if (options.m_replicas.empty())
        {
            return send_to_primary(options);
        }
        auto const& candidate =
            options.m_replicas[options.m_random % options.m_replicas.size()];
        if (candidate.m_covers)
        {
            return send_to(candidate);
        }
        if (candidate.m_covers_at &&
            *candidate.m_covers_at <= options.m_wait_until)
        {
            return wait_until(*candidate.m_covers_at);
        }
        return send_to_primary(options);
    }

    std::string_view name() const override { return "random_replica"; }
};

class covering_replica final : public read_strategy
{
public:
    std::optional<read_choice>
    choose(read_options const& options) const override
    {
        if (auto const* const replica = least_loaded(options))
        {
            return send_to(*replica);
        }
        if (auto const* const replica = earliest_to_cover(options))
        {
            return wait_until(*replica->m_covers_at);
        }
        return send_to_primary(options);
    }

    std::string_view name() const override { return "covering_replica"; }
};

class least_time final : public read_strategy
{
public:
    std::optional<read_choice>
    choose(read_options const& options) const override
    {
        auto const* const covering = least_loaded(options);
        auto const* const later = earliest_to_cover(options);
        auto const never = state::duration::max();
        auto const now_time = covering ? covering->m_service : never;
        auto const later_time =
            later ? *later->m_covers_at - options.m_now + later->m_service
                  : never;
        auto const primary_time =
            options.m_primary ? options.m_primary->m_service * primary_weight
                              : never;
        auto const least = std::min({now_time, later_time, primary_time});
        if (least == never)
        {
            return std::nullopt;
        }
        if (least == now_time)
        {
            return send_to(*covering);
        }
        return least == later_time ? wait_until(*later->m_covers_at)
                                   : send_to(*options.m_primary);
    }

    std::string_view name() const override { return "least_time"; }
};

template <typename Strategy>
std::unique_ptr<read_strategy> make()
{
    return std::make_unique<Strategy>();
}

} // namespace

std::unique_ptr<read_strategy> make_primary_only()
{
    return make<primary_only>();
}

std::unique_ptr<read_strategy> make_random_replica()
{
    return make<random_replica>();
}

std::unique_ptr<read_strategy> make_covering_replica()
{
    return make<covering_replica>();
}

std::unique_ptr<read_strategy> make_least_time()
{
    return make<least_time>();
}

std::unique_ptr<read_strategy> make_read_strategy(std::string_view name)
{
    constexpr std::array factories{make_primary_only, make_random_replica,
                                   make_covering_replica, make_least_time};
    for (auto const factory : factories)
    {
        auto strategy = factory();
        if (strategy->name() == name)
        {
            return strategy;
        }
    }
    return nullptr;
}

} // namespace camphortide::coordination
