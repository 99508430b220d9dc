#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace camphortide::coordination
{

/// Combines a customer and a request key into the key that members store.
/// @return a string that is unique to the pair; empty if the key is empty
std::string scoped_key(std::string_view customer, std::string_view key);

/// Remembers with which statement each key was used, to detect a caller that
/// uses a key for two different statements. The registry is bounded and local
/// to a home. For a key that it does not hold, the member still executes the
/// statement at most once and returns the first result.
class key_registry
{
public:
    /// @param capacity the number of keys remembered
    explicit key_registry(std::size_t capacity);

    /// Records the use of a key with a statement. Has to be called when the
    /// request is admitted: a refused request does not use its key.
    /// @param key the scoped key
    /// @param fingerprint a hash of the statement
    /// @return false if the key was used with another statement; the request is
    ///     then a conflict and must not be sent
    bool note(std::string const& key, std::uint64_t fingerprint);

    std::size_t size() const { return m_fingerprints.size(); }

private:
    std::size_t m_capacity;
    std::unordered_map<std::string, std::uint64_t> m_fingerprints;
    std::deque<std::string> m_order; ///< oldest first
};

} // namespace camphortide::coordination
