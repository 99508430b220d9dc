#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphortide::standin
{

/// An object of the platform's store.
struct stored_object
{
    std::string m_name;
    std::uint64_t m_version = 0; ///< store's version at the last change
    std::string m_value;

    friend auto operator<=>(stored_object const&,
                            stored_object const&) = default;
};

/// A change of an object. A deleted object has an empty value.
struct object_change
{
    stored_object m_object;
    bool m_deleted = false;

    friend auto operator<=>(object_change const&,
                            object_change const&) = default;
};

/// Why the store rejected a change.
enum class store_error
{
    not_found,
    conflict, ///< the object has another version
    too_large,
    empty_name
};

/// The change, or why the store rejected it.
using change_result = std::variant<object_change, store_error>;

/// Models the platform's versioned objects. Uses no clock, thread or network.
class object_store_model
{
public:
    /// Maximum size of a value, in bytes.
    static constexpr std::size_t max_value_size = std::size_t{1} << 20;

    /// Creates or replaces an object.
    /// @param name the object's name
    /// @param if_version the required current version; 0 if the object must
    ///     not exist
    /// @param value the new value
    change_result put(std::string const& name, std::uint64_t if_version,
                      std::string value);

    /// Deletes an object.
    /// @param name the object's name
    /// @param if_version the required current version
    change_result erase(std::string const& name, std::uint64_t if_version);

    /// @return the object, or nothing if it does not exist
    std::optional<stored_object> get(std::string_view name) const;

    /// @return the objects whose names begin with a prefix, sorted by name
    std::vector<stored_object> list(std::string_view prefix) const;

    /// Gets the last change of every object that changed after a version.
    /// @param prefix of the objects' names
    /// @param version changes up to this one are excluded
    /// @return the changes sorted by version
    std::vector<object_change> changes_after(std::string_view prefix,
                                             std::uint64_t version) const;

    /// @return the version of the last change; 0 before the first
    std::uint64_t version() const { return m_version; }

private:
    std::uint64_t m_version = 0;
    std::map<std::string, stored_object, std::less<>> m_objects;
    std::map<std::string, std::uint64_t, std::less<>> m_deleted;
};

} // namespace camphortide::standin
