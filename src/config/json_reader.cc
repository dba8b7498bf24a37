#include "config/json_reader.h"

#include "config/tables.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

constexpr size_t MaxDepth = 32;

json::parse_options strictOptions()
{
    json::parse_options options;
    options.max_depth = MaxDepth;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    return options;
}

// Parser event handler that rejects objects with two members of the same key. Boost.JSON itself
// keeps the last of them, so that one setting would silently replace another.
// NOLINTBEGIN(readability-identifier-naming): basic_parser requires these names
class DuplicateFinder
{
public:
    static constexpr size_t max_object_size = std::numeric_limits<size_t>::max();
    static constexpr size_t max_array_size = std::numeric_limits<size_t>::max();
    static constexpr size_t max_key_size = std::numeric_limits<size_t>::max();
    static constexpr size_t max_string_size = std::numeric_limits<size_t>::max();

    bool on_key_part(json::string_view part, size_t, json::error_code &)
    {
        m_key.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, size_t, json::error_code &ec)
    {
        m_key.append(part.data(), part.size());
        const bool isNew = m_objects.back().insert(m_key).second;
        if (!isNew) {
            m_duplicate = m_key;
            ec = json::error::syntax;
        }
        m_key.clear();
        return isNew;
    }
    bool on_object_begin(json::error_code &)
    {
        m_objects.emplace_back();
        return true;
    }
    bool on_object_end(size_t, json::error_code &)
    {
        m_objects.pop_back();
        return true;
    }
    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_array_begin(json::error_code &) { return true; }
    bool on_array_end(size_t, json::error_code &) { return true; }
    bool on_string_part(json::string_view, size_t, json::error_code &) { return true; }
    bool on_string(json::string_view, size_t, json::error_code &) { return true; }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(int64_t, json::string_view, json::error_code &) { return true; }
    bool on_uint64(uint64_t, json::string_view, json::error_code &) { return true; }
    bool on_double(double, json::string_view, json::error_code &) { return true; }
    bool on_bool(bool, json::error_code &) { return true; }
    bool on_null(json::error_code &) { return true; }
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }

    const std::string &duplicate() const { return m_duplicate; }

private:
    std::string m_key;
    std::string m_duplicate;
    std::vector<std::set<std::string>> m_objects; // keys of each open object, outermost first
};
// NOLINTEND(readability-identifier-naming)

std::string lineOf(std::string_view text, size_t position)
{
    const auto end = text.begin() + static_cast<ptrdiff_t>(std::min(position, text.size()));
    return "line " + std::to_string(std::count(text.begin(), end, '\n') + 1);
}

Error syntaxError(std::string_view text, size_t position, const std::string &reason)
{
    return Error{ErrorCode::InvalidArgument, lineOf(text, position) + ": " + reason};
}

std::optional<int64_t> toInt64(const json::value &value)
{
    if (value.is_int64())
        return value.get_int64();
    if (value.is_uint64() && value.get_uint64() <= std::numeric_limits<int64_t>::max())
        return static_cast<int64_t>(value.get_uint64());
    return std::nullopt;
}

} // namespace

Result<json::value> parseStrictJson(std::string_view text)
{
    json::basic_parser<DuplicateFinder> finder(strictOptions());
    json::error_code ec;
    size_t position = finder.write_some(false, text.data(), text.size(), ec);
    if (!finder.handler().duplicate().empty())
        return syntaxError(text, position,
                           "duplicate key \"" + finder.handler().duplicate() + "\"");
    if (ec)
        return syntaxError(text, position, "not JSON: " + ec.message());
    const std::string_view remainder = text.substr(std::min(position, text.size()));
    if (remainder.find_first_not_of(" \t\r\n") != std::string_view::npos)
        return syntaxError(text, position, "not JSON: text after the end of the document");
    json::value value = json::parse(text, ec, {}, strictOptions());
    if (ec)
        return syntaxError(text, text.size(), "not JSON: " + ec.message());
    return value;
}

std::string toJsonBytes(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        if (byte < 0x80) {
            text.push_back(it);
        } else {
            text.push_back(static_cast<char>(0xC0 | (byte >> 6)));
            text.push_back(static_cast<char>(0x80 | (byte & 0x3F)));
        }
    }
    return text;
}

std::optional<std::string> fromJsonBytes(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (size_t n = 0; n < text.size(); ++n) {
        const auto lead = static_cast<unsigned char>(text[n]);
        if (lead < 0x80) {
            bytes.push_back(text[n]);
            continue;
        }
        if ((lead != 0xC2 && lead != 0xC3) || n + 1 == text.size())
            return std::nullopt;
        const auto trail = static_cast<unsigned char>(text[++n]);
        bytes.push_back(static_cast<char>(((lead & 0x03) << 6) | (trail & 0x3F)));
    }
    return bytes;
}

void JsonErrors::fail(const std::string &path, const std::string &reason)
{
    if (!m_error)
        m_error = path.empty() ? reason : path + ": " + reason;
}

JsonObject::JsonObject(const json::value &value, std::string path, JsonErrors &errors)
    : m_object(value.if_object()), m_path(std::move(path)), m_errors(&errors)
{
    if (m_object == nullptr)
        m_errors->fail(m_path, "must be an object");
}

int64_t JsonObject::integer(std::string_view key, int64_t min, int64_t max)
{
    const json::value *value = require(key);
    if (value == nullptr)
        return min;
    const auto number = toInt64(*value);
    if (number && *number >= min && *number <= max)
        return *number;
    fail(key, (number ? "must be between " : "must be an integer between ") + std::to_string(min)
                  + " and " + std::to_string(max));
    return min;
}

int64_t JsonObject::integerOr(std::string_view key, int64_t fallback, int64_t min, int64_t max)
{
    return has(key) ? integer(key, min, max) : fallback;
}

uint64_t JsonObject::unsignedInteger(std::string_view key)
{
    const json::value *value = require(key);
    if (value == nullptr)
        return 0;
    if (value->is_uint64())
        return value->get_uint64();
    if (value->is_int64() && value->get_int64() >= 0)
        return static_cast<uint64_t>(value->get_int64());
    fail(key, "must be a non-negative integer");
    return 0;
}

bool JsonObject::flag(std::string_view key)
{
    const json::value *value = require(key);
    if (value == nullptr)
        return false;
    if (value->is_bool())
        return value->get_bool();
    fail(key, "must be true or false");
    return false;
}

bool JsonObject::flagOr(std::string_view key, bool fallback)
{
    return has(key) ? flag(key) : fallback;
}

std::string JsonObject::text(std::string_view key, size_t maxBytes)
{
    const json::value *value = require(key);
    if (value == nullptr)
        return {};
    if (!value->is_string()) {
        fail(key, "must be a string");
        return {};
    }
    const json::string &text = value->get_string();
    if (text.size() > maxBytes) {
        fail(key, "must be at most " + std::to_string(maxBytes) + " bytes long");
        return {};
    }
    return {text.data(), text.size()};
}

std::string JsonObject::textOr(std::string_view key, const std::string &fallback, size_t maxBytes)
{
    return has(key) ? text(key, maxBytes) : fallback;
}

std::string JsonObject::name(std::string_view key)
{
    std::string result = text(key);
    if (ok() && !isValidName(result))
        fail(key, "must be 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or "
                  "digit");
    return result;
}

std::string JsonObject::bytes(std::string_view key, size_t maxBytes)
{
    const std::string encoded = text(key, 2 * maxBytes);
    auto result = fromJsonBytes(encoded);
    if (!result || result->size() > maxBytes) {
        fail(key, "must be at most " + std::to_string(maxBytes)
                      + " bytes, each encoded as a code point below 256");
        return {};
    }
    return *std::move(result);
}

JsonObject JsonObject::object(std::string_view key)
{
    static const json::value empty = json::object();
    const json::value *value = require(key);
    return {value == nullptr ? empty : *value, pathOf(key), *m_errors};
}

void JsonObject::forEach(std::string_view key, bool required,
                         const std::function<void(JsonObject &)> &fn)
{
    const json::value *value = required ? require(key) : find(key);
    if (value == nullptr)
        return;
    if (!value->is_array())
        return fail(key, "must be an array");
    const json::array &array = value->get_array();
    for (size_t n = 0; n < array.size() && ok(); ++n) {
        JsonObject element(array[n], pathOf(key) + "[" + std::to_string(n) + "]", *m_errors);
        if (ok())
            fn(element);
    }
}

void JsonObject::forEachText(std::string_view key,
                             const std::function<void(std::string_view, const std::string &)> &fn)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return;
    if (!value->is_array())
        return fail(key, "must be an array");
    const json::array &array = value->get_array();
    for (size_t n = 0; n < array.size() && ok(); ++n) {
        const std::string elementPath = pathOf(key) + "[" + std::to_string(n) + "]";
        if (!array[n].is_string())
            return m_errors->fail(elementPath, "must be a string");
        const json::string &text = array[n].get_string();
        fn({text.data(), text.size()}, elementPath);
    }
}

const json::value *JsonObject::find(std::string_view key)
{
    m_requestedKeys.emplace(key);
    return m_object == nullptr ? nullptr : m_object->if_contains(key);
}

bool JsonObject::has(std::string_view key) const
{
    return m_object != nullptr && m_object->contains(key);
}

std::vector<std::string> JsonObject::keys() const
{
    std::vector<std::string> result;
    if (m_object != nullptr) {
        for (const auto &member : *m_object)
            result.emplace_back(member.key());
    }
    return result;
}

void JsonObject::finish()
{
    if (m_object == nullptr)
        return;
    for (const auto &member : *m_object) {
        const std::string key(member.key());
        if (!m_requestedKeys.contains(key))
            fail(key, "unknown key");
    }
}

void JsonObject::fail(std::string_view key, const std::string &reason)
{
    m_errors->fail(pathOf(key), reason);
}

std::string JsonObject::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

const json::value *JsonObject::require(std::string_view key)
{
    const json::value *value = find(key);
    if (value == nullptr)
        fail(key, "missing");
    return value;
}

} // namespace cardamompaddle
