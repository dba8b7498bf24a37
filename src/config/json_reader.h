// Strict reader of JSON with comments. Duplicate and unknown keys are errors, integers are checked
// against a range, and every error names the line or the key.
#pragma once

#include "base/result.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// Parses JSON with comments and trailing commas. Errors: InvalidArgument, with the line.
Result<boost::json::value> parseStrictJson(std::string_view text);

// Encodes arbitrary bytes as UTF-8 text for a JSON string, and decodes them. Each byte becomes the
// code point of its value, so that bytes which are not valid UTF-8 are preserved. fromJsonBytes
// returns nothing if the text has a code point above 255.
std::string toJsonBytes(std::string_view bytes);
std::optional<std::string> fromJsonBytes(std::string_view text);

// Keeps the first error found in a document; later ones are ignored.
class JsonErrors
{
public:
    void fail(const std::string &path, const std::string &reason);
    bool ok() const { return !m_error.has_value(); }
    // Precondition: !ok().
    Error error() const { return Error{ErrorCode::InvalidArgument, *m_error}; }

private:
    std::optional<std::string> m_error;
};

// Reads the members of one JSON object. A getter that fails adds the error to the JsonErrors and
// returns a default: the minimum, zero, false or empty. The getters with `fallback` return it if
// the member is missing. The value and the JsonErrors must outlive this object. Not thread-safe.
class JsonObject
{
public:
    // `path` names the object in errors; it is empty for the document itself.
    JsonObject(const boost::json::value &value, std::string path, JsonErrors &errors);

    // Required integer within [min, max].
    int64_t integer(std::string_view key, int64_t min, int64_t max);
    // Optional integer within [min, max].
    int64_t integerOr(std::string_view key, int64_t fallback, int64_t min, int64_t max);
    // Required integer from 0 to 2^64 - 1.
    uint64_t unsignedInteger(std::string_view key);
    // Required boolean.
    bool flag(std::string_view key);
    bool flagOr(std::string_view key, bool fallback);
    // Required string of at most `maxBytes`.
    std::string text(std::string_view key, size_t maxBytes = 256);
    std::string textOr(std::string_view key, const std::string &fallback, size_t maxBytes = 256);
    // Required string that isValidName() accepts.
    std::string name(std::string_view key);
    // Required string in the encoding of toJsonBytes, of at most `maxBytes` decoded bytes.
    std::string bytes(std::string_view key, size_t maxBytes);
    // Required object.
    JsonObject object(std::string_view key);
    // Calls `fn` with each object of an array and stops at the first error. A missing array is an
    // error if `required`, otherwise it counts as empty.
    void forEach(std::string_view key, bool required, const std::function<void(JsonObject &)> &fn);
    // Calls `fn` with each string of an array and its path, and stops at the first error. A missing
    // array counts as empty.
    void forEachText(std::string_view key,
                     const std::function<void(std::string_view, const std::string &)> &fn);
    // Returns the member, or nullptr if it is missing. finish() accepts the key.
    const boost::json::value *find(std::string_view key);
    bool has(std::string_view key) const;
    // The keys of all members, in the order of the text.
    std::vector<std::string> keys() const;

    // Fails for each member whose key no getter asked for. Call it after the last getter.
    void finish();
    // Adds an error at a member.
    void fail(std::string_view key, const std::string &reason);
    // "PATH.KEY", or "KEY" for a member of the document itself.
    std::string pathOf(std::string_view key) const;
    const std::string &path() const { return m_path; }
    bool ok() const { return m_errors->ok(); }

private:
    // As find(), but a missing member is an error.
    const boost::json::value *require(std::string_view key);

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    JsonErrors *m_errors;
    std::set<std::string, std::less<>> m_requestedKeys; // keys that finish() accepts
};

} // namespace cardamompaddle
