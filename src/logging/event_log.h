// Structured logging of events with key=value fields, through log4cplus.
//
// A line is "event=NAME key=value ..."; the appender adds time, level and instance. The caller
// quotes values that contain spaces. Thread-safe, except for setEventObserver().
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cardamompaddle {

enum class EventLevel { Info, Warn, Error };

// Sets a function that is called with the name of each logged event, for example to count events;
// null removes it. Not thread-safe: call it while no events are logged.
void setEventObserver(std::function<void(std::string_view event)> observer);

// Logs one event. `fields` is empty or "key=value ...".
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
