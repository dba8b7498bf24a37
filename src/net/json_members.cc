#include "net/json_members.h"

#include <boost/json.hpp>

#include <utility>

namespace cardamompaddle {

namespace json = boost::json;

JsonMembers::JsonMembers(std::string_view text)
    : m_document(std::make_shared<json::value>()), m_ok(std::make_shared<bool>(true))
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    json::error_code ec;
    *m_document = json::parse({text.data(), text.size()}, ec, {}, options);
    m_object = ec ? nullptr : m_document->if_object();
    *m_ok = m_object != nullptr;
}

JsonMembers::JsonMembers(const json::object *object, std::shared_ptr<bool> ok)
    : m_object(object), m_ok(std::move(ok))
{
    if (!m_object)
        fail();
}

const json::value *JsonMembers::find(std::string_view name) const
{
    return m_object ? m_object->if_contains({name.data(), name.size()}) : nullptr;
}

std::string JsonMembers::text(std::string_view name)
{
    if (!has(name))
        fail();
    return text(name, {});
}

uint64_t JsonMembers::unsignedNumber(std::string_view name)
{
    const json::value *value = find(name);
    json::error_code ec;
    const uint64_t number = value && value->is_number() ? value->to_number<uint64_t>(ec) : 0;
    if (!value || !value->is_number() || ec)
        fail();
    return ec ? 0 : number;
}

JsonMembers JsonMembers::object(std::string_view name)
{
    const json::value *value = find(name);
    return {value ? value->if_object() : nullptr, m_ok};
}

std::deque<JsonMembers> JsonMembers::objects(std::string_view name)
{
    if (!has(name))
        fail();
    return optionalObjects(name);
}

std::string JsonMembers::text(std::string_view name, std::string_view defaultValue)
{
    const json::value *value = find(name);
    if (!value)
        return std::string(defaultValue);
    const json::string *string = value->if_string();
    if (string)
        return {string->data(), string->size()};
    fail();
    return {};
}

int64_t JsonMembers::number(std::string_view name, int64_t defaultValue)
{
    const json::value *value = find(name);
    if (!value)
        return defaultValue;
    json::error_code ec;
    const int64_t number = value->is_number() ? value->to_number<int64_t>(ec) : 0;
    if (!value->is_number() || ec) {
        fail();
        return 0;
    }
    return number;
}

bool JsonMembers::flag(std::string_view name, bool defaultValue)
{
    const json::value *value = find(name);
    if (!value)
        return defaultValue;
    const bool *flag = value->if_bool();
    if (!flag)
        fail();
    return flag && *flag;
}

std::map<std::string, std::string> JsonMembers::textMap(std::string_view name)
{
    std::map<std::string, std::string> out;
    if (!has(name))
        return out;
    JsonMembers inner = object(name);
    if (!inner.m_object)
        return out;
    for (const auto &entry : *inner.m_object) {
        const std::string key(entry.key().data(), entry.key().size());
        out[key] = inner.text(key);
    }
    return out;
}

std::deque<JsonMembers> JsonMembers::optionalObjects(std::string_view name)
{
    std::deque<JsonMembers> out;
    const json::value *value = find(name);
    if (!value)
        return out;
    const json::array *array = value->if_array();
    if (!array) {
        fail();
        return out;
    }
    for (const json::value &it : *array)
        out.push_back(JsonMembers(it.if_object(), m_ok));
    return out;
}

} // namespace cardamompaddle
