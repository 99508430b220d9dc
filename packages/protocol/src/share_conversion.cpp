#include <algorithm>

#include <camphortide/limits/v1/shares.pb.h>
#include <camphortide/protocol/share_conversion.hpp>

namespace camphortide::protocol
{

namespace
{

limits::v1::Kind to_proto(coordination::share_kind kind)
{
    switch (kind)
    {
    case coordination::share_kind::connections:
        return limits::v1::KIND_CONNECTIONS;
    case coordination::share_kind::concurrency:
        return limits::v1::KIND_CONCURRENCY;
    case coordination::share_kind::rate:
        return limits::v1::KIND_RATE;
    }
    return limits::v1::KIND_UNSPECIFIED;
}

std::optional<coordination::share_kind> from_proto(limits::v1::Kind kind)
{
    switch (kind)
    {
    case limits::v1::KIND_CONNECTIONS:
        return coordination::share_kind::connections;
    case limits::v1::KIND_CONCURRENCY:
        return coordination::share_kind::concurrency;
    case limits::v1::KIND_RATE:
        return coordination::share_kind::rate;
    default:
        return std::nullopt;
    }
}

void fill(limits::v1::Holder& message, coordination::holder_id const& holder)
{
    message.set_instance(holder.m_instance);
    message.set_incarnation(holder.m_incarnation);
}

coordination::holder_id from_proto(limits::v1::Holder const& message)
{
    return {message.instance(), message.incarnation()};
}

std::optional<coordination::divided_limit>
from_proto(limits::v1::Limit const& message)
{
    auto const kind = from_proto(message.kind());
    if (!kind || message.limit() < 0)
    {
        return std::nullopt;
    }
    coordination::divided_limit limit;
    limit.m_key = {*kind, message.name()};
    limit.m_limit = message.limit();
    for (auto const& share : message.shares())
    {
        if (share.amount() < 0 || share.wanted() < 0)
        {
            return std::nullopt;
        }
        limit.m_shares.push_back(
            {from_proto(share.holder()), share.amount(), share.wanted()});
    }
    return limit;
}

bool strictly_sorted(std::vector<coordination::divided_limit> const& limits)
{
    return std::adjacent_find(limits.begin(), limits.end(),
                              [](auto const& left, auto const& right) {
                                  return left.m_key >= right.m_key;
                              }) == limits.end();
}

} // namespace

std::string encode(coordination::share_ledger const& ledger)
{
    limits::v1::Ledger message;
    message.set_limits_version(ledger.m_limits_version);
    message.set_last_retirement(ledger.m_last_retirement);
    for (auto const& limit : ledger.m_limits)
    {
        auto& added = *message.add_limits();
        added.set_kind(to_proto(limit.m_key.m_kind));
        added.set_name(limit.m_key.m_name);
        added.set_limit(limit.m_limit);
        for (auto const& share : limit.m_shares)
        {
            auto& part = *added.add_shares();
            fill(*part.mutable_holder(), share.m_holder);
            part.set_amount(share.m_amount);
            part.set_wanted(share.m_wanted);
        }
    }
    for (auto const& retired : ledger.m_retired)
    {
        auto& added = *message.add_retired();
        fill(*added.mutable_holder(), retired.m_holder);
        added.set_number(retired.m_number);
    }
    return message.SerializeAsString();
}

std::optional<coordination::share_ledger>
decode_share_ledger(std::string_view bytes)
{
    limits::v1::Ledger message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    coordination::share_ledger ledger;
    ledger.m_limits_version = message.limits_version();
    ledger.m_last_retirement = message.last_retirement();
    for (auto const& item : message.limits())
    {
        auto limit = from_proto(item);
        if (!limit)
        {
            return std::nullopt;
        }
        ledger.m_limits.push_back(*std::move(limit));
    }
    for (auto const& item : message.retired())
    {
        ledger.m_retired.push_back({from_proto(item.holder()), item.number()});
    }
    if (!strictly_sorted(ledger.m_limits))
    {
        return std::nullopt;
    }
    return ledger;
}

} // namespace camphortide::protocol
