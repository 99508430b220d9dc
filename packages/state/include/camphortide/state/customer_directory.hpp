#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <absl/status/statusor.h>

#include <camphortide/state/customer.hpp>
#include <camphortide/state/key_digest.hpp>

namespace camphortide::state
{

/// All customers of a configuration and the digests of their keys. Immutable;
/// made by customer_directory_builder.
class customer_directory
{
public:
    /// @param digest of the key that a caller presented
    /// @return the customer that holds the key; null if nobody does. The time
    ///     doesn't depend on the number of keys.
    customer const* find_by_key(key_digest const& digest) const;

    /// @return the customer of that name, or null
    customer const* find(std::string_view name) const;

    /// @return all customers, by name
    std::map<std::string, customer, std::less<>> const& customers() const
    {
        return m_customers;
    }

    friend bool operator==(customer_directory const&,
                           customer_directory const&) = default;

private:
    friend class customer_directory_builder;

    struct digest_hash
    {
        std::size_t operator()(key_digest const& digest) const
        {
            return digest.hash();
        }
    };

    std::map<std::string, customer, std::less<>> m_customers;
    /// Names of the customers that hold the keys.
    std::unordered_map<key_digest, std::string, digest_hash> m_keys;
};

/// Collects the customers of a configuration.
class customer_directory_builder
{
public:
    /// Adds a customer.
    /// @param value its description
    /// @param keys all keys of the customer; a repeated one counts once
    /// @return this builder
    customer_directory_builder& add(customer value,
                                    std::vector<std::string> const& keys);

    /// @return the directory; an InvalidArgument error that names the first
    ///     problem if a name isn't a single word, a name or a key belongs to
    ///     two customers, or a limit is negative
    absl::StatusOr<customer_directory> build();

private:
    void add_key(std::string const& key, std::string const& name);
    void fail(std::string const& message);

    customer_directory m_result;
    absl::Status m_status;
};

} // namespace camphortide::state
