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
    std::uint64_t m_version = 0; ///< of the store, at the object's last change
    std::string m_value;

    friend auto operator<=>(stored_object const&,
                            stored_object const&) = default;
};

/// A change of an object. The value of a deleted object is empty.
struct object_change
{
    stored_object m_object;
    bool m_deleted = false;

    friend auto operator<=>(object_change const&,
                            object_change const&) = default;
};

/// Why the store refused a change.
enum class store_error
{
    not_found,
    conflict, ///< the object has another version
    too_large,
    empty_name
};

/// Either the change that was made or why there was none.
using change_result = std::variant<object_change, store_error>;

/// The pure model of the platform's versioned objects.
class object_store_model
{
public:
    /// The largest value, in bytes.
    static constexpr std::size_t max_value_size = std::size_t{1} << 20;

    /// Creates or replaces an object.
    /// @param name the object's name
    /// @param if_version its version; 0 if it must not exist
    /// @param value the new value
    change_result put(std::string const& name, std::uint64_t if_version,
                      std::string value);

    /// Deletes an object.
    /// @param name the object's name
    /// @param if_version its version
    change_result erase(std::string const& name, std::uint64_t if_version);

    /// @return the object, or nothing if there is none of that name
    std::optional<stored_object> get(std::string_view name) const;

    /// @return the objects whose names begin with a prefix, by rising name
    std::vector<stored_object> list(std::string_view prefix) const;

    /// The latest change of every object that changed since a version.
    /// @param prefix what the names begin with
    /// @param version changes up to it are left out
    /// @return the changes by rising version
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
