#include "logging/event_log.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace cardamompaddle {

void logEvent(EventLevel level, std::string_view event, const std::string &fields)
{
    static const log4cplus::Logger Root = log4cplus::Logger::getRoot();
    const log4cplus::LogLevel levels[] = {log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
                                          log4cplus::ERROR_LOG_LEVEL};
    const auto chosen = levels[static_cast<size_t>(level)];
    if (Root.isEnabledFor(chosen))
        Root.log(chosen, "event=" + std::string(event) + (fields.empty() ? "" : " ") + fields);
}

} // namespace cardamompaddle
