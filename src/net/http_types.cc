#include "net/http_types.h"

#include <boost/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace cardamompaddle {

bool ClientConnectionStatus::isClosed() const
{
    const std::lock_guard lock(m_mutex);
    return m_closed;
}

void ClientConnectionStatus::onClosed(std::function<void()> callback)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_responded)
            return;
        if (!m_closed) {
            m_callback = std::move(callback);
            return;
        }
    }
    callback();
}

void ClientConnectionStatus::markClosed()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(m_mutex);
        if (m_responded || m_closed)
            return;
        m_closed = true;
        callback = std::move(m_callback);
        m_callback = nullptr;
    }
    if (callback)
        callback();
}

void ClientConnectionStatus::markResponded()
{
    std::function<void()> dropped; // destroyed after the lock is released
    const std::lock_guard lock(m_mutex);
    m_responded = true;
    dropped = std::move(m_callback);
    m_callback = nullptr;
}

HttpResponse errorResponse(int status, const Error &error, Executed executed)
{
    boost::json::object body;
    body["error"] = errorName(error.code);
    body["message"] = error.reason;
    body["executed"] = executedName(executed);
    return {status, boost::json::serialize(body)};
}

HttpResponse errorResponse(const Error &error, Executed executed)
{
    return errorResponse(httpStatus(error.code), error, executed);
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::PermissionDenied:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
    case ErrorCode::Cancelled:
        return 409;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::Overloaded:
        return 429;
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::DeadlineExceeded:
        return 408;
    case ErrorCode::OutcomeUnknown:
        return 504;
    case ErrorCode::Failed:
    case ErrorCode::Internal:
        return 500;
    }
    return 500;
}

namespace {

std::optional<std::string> percentDecode(std::string_view text, bool plusIsSpace)
{
    std::string out;
    out.reserve(text.size());
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+' && plusIsSpace) {
            out += ' ';
        } else if (text[i] != '%') {
            out += text[i];
        } else {
            unsigned value = 0;
            const char *begin = text.data() + i + 1;
            if (i + 2 >= text.size()
                || std::from_chars(begin, begin + 2, value, 16).ptr != begin + 2)
                return std::nullopt;
            out += static_cast<char>(value);
            i += 2;
        }
    }
    return out;
}

bool parseQuery(std::string_view text, std::map<std::string, std::string> &query)
{
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(pair.size() + 1, text.size()));
        if (pair.empty())
            continue;
        const size_t separator = pair.find('=');
        const auto name = percentDecode(pair.substr(0, separator), true);
        const auto value = separator == std::string_view::npos
                               ? std::string()
                               : percentDecode(pair.substr(separator + 1), true);
        if (!name || !value)
            return false;
        query[*name] = *value;
    }
    return true;
}

} // namespace

bool parseTarget(std::string_view target, HttpRequest &request)
{
    target = target.substr(0, target.find('#'));
    const size_t queryStart = target.find('?');
    auto path = percentDecode(target.substr(0, queryStart), false);
    if (!path)
        return false;
    request.path = std::move(*path);
    return queryStart == std::string_view::npos
           || parseQuery(target.substr(queryStart + 1), request.query);
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Hex = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool alnum =
            (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (alnum || c == '-' || c == '.' || c == '_' || c == '~')
            out += c;
        else
            out.append({'%', Hex[byte >> 4], Hex[byte & 15]});
    }
    return out;
}

bool parseHostPort(std::string_view address, HostPort &out)
{
    const size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    std::string_view host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const char *end = address.data() + address.size();
    const auto [ptr, ec] = std::from_chars(address.data() + colon + 1, end, out.port);
    out.host = std::string(host);
    return ec == std::errc() && ptr == end;
}

} // namespace cardamompaddle
