// Structured log lines: one event with key=value fields, through log4cplus.
//
// A line is "event=NAME key=value ..."; the appender adds time, level and instance. Values with
// spaces are quoted by the caller. Thread-safe.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cardamompaddle {

enum class EventLevel { Info, Warn, Error };

// Called with the name of each event that is logged, for metrics. Set before the first event; not
// thread-safe.
void setEventObserver(std::function<void(std::string_view event)> observer);

void logEvent(EventLevel level, std::string_view event, const std::string &fields);
inline void logInfo(std::string_view event, const std::string &fields)
{
    logEvent(EventLevel::Info, event, fields);
}
inline void logWarn(std::string_view event, const std::string &fields)
{
    logEvent(EventLevel::Warn, event, fields);
}

} // namespace cardamompaddle
