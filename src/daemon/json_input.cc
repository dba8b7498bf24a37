#include "daemon/json_input.h"

#include <boost/json/parse.hpp>

#include <utility>

namespace cardamompaddle {

JsonInput::JsonInput(boost::json::object object, std::string prefix)
    : m_object(std::move(object)), m_prefix(std::move(prefix))
{ }

Result<JsonInput> JsonInput::create(std::string_view body)
{
    boost::system::error_code ec;
    boost::json::value value = boost::json::parse(body, ec);
    if (ec)
        return Error{ErrorCode::InvalidArgument, "the body is not valid JSON: " + ec.message()};
    if (!value.is_object())
        return Error{ErrorCode::InvalidArgument, "the body must be a JSON object"};
    return JsonInput(std::move(value.as_object()), "");
}

void JsonInput::recordError(std::string_view field, std::string_view reason)
{
    if (!m_error)
        m_error = Error{ErrorCode::InvalidArgument,
                        m_prefix + std::string(field) + ": " + std::string(reason)};
}

const boost::json::value *JsonInput::read(std::string_view field)
{
    m_readFields.emplace(field);
    return m_object.if_contains(field);
}

std::optional<std::string> JsonInput::text(std::string_view field)
{
    const boost::json::value *value = read(field);
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_string()) {
        recordError(field, "must be a string");
        return std::nullopt;
    }
    return std::string(value->as_string());
}

std::optional<int64_t> JsonInput::integer(std::string_view field, int64_t min, int64_t max)
{
    const boost::json::value *value = read(field);
    if (value == nullptr)
        return std::nullopt;
    const int64_t *number = value->if_int64();
    if (number == nullptr || *number < min || *number > max) {
        recordError(field, "must be an integer between " + std::to_string(min) + " and "
                               + std::to_string(max));
        return std::nullopt;
    }
    return *number;
}

std::optional<bool> JsonInput::boolean(std::string_view field)
{
    const boost::json::value *value = read(field);
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_bool()) {
        recordError(field, "must be true or false");
        return std::nullopt;
    }
    return value->as_bool();
}

std::optional<JsonInput> JsonInput::object(std::string_view field)
{
    const boost::json::value *value = read(field);
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_object()) {
        recordError(field, "must be an object");
        return std::nullopt;
    }
    return JsonInput(value->as_object(), m_prefix + std::string(field) + ".");
}

void JsonInput::require(std::string_view field)
{
    if (!m_object.contains(field))
        recordError(field, "is missing");
}

Result<void> JsonInput::finish()
{
    for (const auto &it : m_object) {
        if (!m_readFields.contains(std::string_view(it.key())))
            recordError(it.key(), "unknown field");
    }
    if (m_error)
        return *m_error;
    return {};
}

} // namespace cardamompaddle
