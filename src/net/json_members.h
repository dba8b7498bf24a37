// A reader for the members of a JSON object.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompaddle {

// Reads the members of a JSON object and records in ok() whether a required member was missing or a
// member had the wrong type. After such an error the affected getter returns an empty or zero
// value. Strings may hold arbitrary bytes. Readers of nested objects share ok() with the reader of
// the whole document and must not outlive it. Not thread-safe.
class JsonMembers
{
public:
    // Parses `text`. ok() is false if it is not a JSON object.
    explicit JsonMembers(std::string_view text);

    bool ok() const { return *m_ok; }
    bool has(std::string_view name) const { return find(name) != nullptr; }

    // Required members: it is an error if the member is missing or has the wrong type.
    std::string text(std::string_view name);
    uint64_t unsignedNumber(std::string_view name);
    JsonMembers object(std::string_view name);
    // Reads an array of objects.
    std::deque<JsonMembers> objects(std::string_view name);

    // Optional members: a missing member yields the default value; a wrong type is an error.
    std::string text(std::string_view name, std::string_view defaultValue);
    int64_t number(std::string_view name, int64_t defaultValue);
    bool flag(std::string_view name, bool defaultValue);
    std::map<std::string, std::string> textMap(std::string_view name);
    // As objects(), but returns an empty list if the member is missing.
    std::deque<JsonMembers> optionalObjects(std::string_view name);

    // Records an error that the caller found in a value.
    void fail() { *m_ok = false; }

private:
    JsonMembers(const boost::json::object *object, std::shared_ptr<bool> ok);
    const boost::json::value *find(std::string_view name) const;

    std::shared_ptr<boost::json::value> m_document; // null in readers of nested objects
    const boost::json::object *m_object = nullptr; // null if the value is not an object
    std::shared_ptr<bool> m_ok; // shared with the readers of nested objects
};

} // namespace cardamompaddle
