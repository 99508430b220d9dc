#include <array>
#include <cstddef>

#include <camphortide/state/catalogue_difference.hpp>

namespace camphortide::state
{

namespace
{

class field_comparison
{
public:
    template <class Value>
    field_comparison& compare(catalogue_field field, Value const& left,
                              Value const& right)
    {
        if (left != right)
        {
            m_fields.push_back(field);
        }
        return *this;
    }

    std::vector<catalogue_field> const& fields() const { return m_fields; }

private:
    std::vector<catalogue_field> m_fields;
};

void compare_limits(field_comparison& result, entry_limits const& left,
                    entry_limits const& right)
{
    using enum catalogue_field;
    result.compare(rate, left.m_rate, right.m_rate)
        .compare(concurrency, left.m_concurrency, right.m_concurrency)
        .compare(connections, left.m_connections, right.m_connections)
        .compare(queue_length, left.m_queue_length, right.m_queue_length)
        .compare(deadline, left.m_deadline, right.m_deadline)
        .compare(age, left.m_age, right.m_age)
        .compare(retry_percent, left.m_retry_percent, right.m_retry_percent)
        .compare(idempotent, left.m_idempotent, right.m_idempotent)
        .compare(priority, left.m_priority, right.m_priority)
        .compare(weight, left.m_weight, right.m_weight)
        .compare(key_retention, left.m_key_retention, right.m_key_retention);
}

} // namespace

std::string_view to_string(catalogue_field value)
{
    static constexpr std::array<std::string_view, 19> names{"existence",
                                                            "customer",
                                                            "class",
                                                            "group",
                                                            "credential_hash",
                                                            "rate",
                                                            "concurrency",
                                                            "connections",
                                                            "queue_length",
                                                            "deadline",
                                                            "age",
                                                            "retry_percent",
                                                            "idempotent",
                                                            "priority",
                                                            "weight",
                                                            "key_retention",
                                                            "members",
                                                            "connection_limit",
                                                            "slots"};
    return names.at(static_cast<std::size_t>(value));
}

std::vector<catalogue_field> differing_fields(catalogue_entry const* left,
                                              catalogue_entry const* right)
{
    using enum catalogue_field;
    if (left == nullptr || right == nullptr)
    {
        return left == right ? std::vector<catalogue_field>{}
                             : std::vector{existence};
    }
    field_comparison result;
    result.compare(customer, left->m_customer, right->m_customer)
        .compare(class_name, left->m_class_name, right->m_class_name)
        .compare(group, left->m_group, right->m_group)
        .compare(credential_hash, left->m_credential_hash,
                 right->m_credential_hash);
    compare_limits(result, left->m_limits, right->m_limits);
    return result.fields();
}

std::vector<catalogue_field> differing_fields(group_description const* left,
                                              group_description const* right)
{
    using enum catalogue_field;
    if (left == nullptr || right == nullptr)
    {
        return left == right ? std::vector<catalogue_field>{}
                             : std::vector{existence};
    }
    field_comparison result;
    result.compare(members, left->m_members, right->m_members)
        .compare(connection_limit, left->m_connection_limit,
                 right->m_connection_limit)
        .compare(slots, left->m_slots, right->m_slots);
    return result.fields();
}

} // namespace camphortide::state
