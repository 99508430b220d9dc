#include <algorithm>
#include <numeric>
#include <tuple>

#include <camphortide/coordination/placing/refusal_choice.hpp>

namespace camphortide::coordination
{

namespace
{

/// A statement gives way only to ones of less work by this factor: the measured
/// times of classes vary, and it has waited already.
constexpr double min_work_ratio = 1.5;

/// The statements that are sent, in their order, and when.
class schedule
{
public:
    schedule(std::span<competing_statement const> statements,
             double interval_ms, state::time_point now)
        : m_statements(statements),
          m_interval_ms(interval_ms),
          m_now(now)
    {
    }

    /// Adds the next statement.
    /// @return false if it would be late
    bool add(std::size_t index)
    {
        auto const& statement = m_statements[index];
        auto const left =
            static_cast<double>((statement.m_send_by - m_now).count());
        bool const in_time = m_sent.empty() || m_duration_ms <= left;
        m_sent.push_back(index);
        m_duration_ms += statement.m_work * m_interval_ms;
        return in_time;
    }

    /// Removes the statement whose place serves others best.
    /// @return its index
    std::size_t remove_one()
    {
        auto const rank = [this](std::size_t index)
        {
            auto const& each = m_statements[index];
            return std::tuple(each.m_priority,
                              each.m_work *
                                  (each.m_arriving ? min_work_ratio : 1.0));
        };
        auto const chosen = std::ranges::max_element(m_sent, {}, rank);
        auto const index = *chosen;
        m_duration_ms -= m_statements[index].m_work * m_interval_ms;
        m_sent.erase(chosen);
        return index;
    }

private:
    std::span<competing_statement const> m_statements;
    double m_interval_ms;
    state::time_point m_now;
    std::vector<std::size_t> m_sent;
    double m_duration_ms = 0; ///< until all of them are sent
};

} // namespace

std::vector<std::size_t>
choose_refusals(std::span<competing_statement const> statements,
                double interval_ms, state::time_point now)
{
    std::vector<std::size_t> order(statements.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::stable_sort(order, {},
                             [&](std::size_t index)
                             { return statements[index].m_send_by; });
    schedule sent(statements, interval_ms, now);
    std::vector<std::size_t> refused;
    for (auto const index : order)
    {
        if (!sent.add(index))
        {
            refused.push_back(sent.remove_one());
        }
    }
    return refused;
}

} // namespace camphortide::coordination
