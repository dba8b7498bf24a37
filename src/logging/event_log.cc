#include "logging/event_log.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <utility>

namespace cardamompaddle {

namespace {

std::function<void(std::string_view)> &eventObserver()
{
    static std::function<void(std::string_view)> observer;
    return observer;
}

} // namespace

void setEventObserver(std::function<void(std::string_view)> observer)
{
    eventObserver() = std::move(observer);
}

void logEvent(EventLevel level, std::string_view event, const std::string &fields)
{
    if (eventObserver())
        eventObserver()(event);
    static const log4cplus::Logger root = log4cplus::Logger::getRoot();
    const log4cplus::LogLevel levels[] = {log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
                                          log4cplus::ERROR_LOG_LEVEL};
    const auto log4cplusLevel = levels[static_cast<size_t>(level)];
    if (root.isEnabledFor(log4cplusLevel))
        root.log(log4cplusLevel,
                 "event=" + std::string(event) + (fields.empty() ? "" : " ") + fields);
}

} // namespace cardamompaddle
