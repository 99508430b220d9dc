#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace camphortide::coordination
{

/// Joins an owner and a request key to the key that members keep.
/// @return a different string for each pair
std::string scoped_key(std::string_view owner, std::string_view key);

/// Remembers which statement a key was used with, to tell a caller who uses
/// a key for two different statements. Bounded, and each home has its own:
/// where it does not know a key, the member still runs it at most once and
/// answers with the first result.
class key_registry
{
public:
    /// @param capacity the number of keys remembered
    explicit key_registry(std::size_t capacity);

    /// Notes the use of a key with a statement. Call it when the request is
    /// admitted: a refused request does not use its key.
    /// @param fingerprint a hash of the statement
    /// @return false if the key was used with another statement; it is then
    ///     a conflict, and the request must not be sent
    bool note(std::string const& key, std::uint64_t fingerprint);

    std::size_t size() const { return m_fingerprints.size(); }

private:
    std::size_t m_capacity;
    std::unordered_map<std::string, std::uint64_t> m_fingerprints;
    std::deque<std::string> m_order; ///< oldest first
};

} // namespace camphortide::coordination
