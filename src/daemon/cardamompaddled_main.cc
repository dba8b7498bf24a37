// The daemon of an entry instance: reads the settings file, configures logging and runs
// EntryDaemon. Exits with 2 if the settings are invalid or startup fails.

#include "daemon/entry_daemon.h"
#include "settings/settings.h"

#include <gflags/gflags.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <cstdio>
#include <memory>

DEFINE_string(settings, "", "Path of the settings file (JSON with comments)");
DEFINE_bool(check, false, "Validate the settings file and exit");

namespace cardamompaddle {
namespace {

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

void configureLogging(LogLevel level)
{
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p %m%n")));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(level));
}

int runDaemon()
{
    if (FLAGS_settings.empty()) {
        std::fprintf(stderr, "cardamompaddled: --settings=FILE is required\n");
        return 2;
    }
    const auto settings = readSettings(FLAGS_settings);
    if (!settings) {
        std::fprintf(stderr, "cardamompaddled: %s\n", settings.error().reason.c_str());
        return 2;
    }
    if (FLAGS_check)
        return 0;
    configureLogging(settings->logLevel);
    auto daemon = EntryDaemon::create(*settings);
    if (!daemon) {
        std::fprintf(stderr, "cardamompaddled: %s\n", daemon.error().reason.c_str());
        return 2;
    }
    return (*daemon)->run();
}

} // namespace
} // namespace cardamompaddle

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("cardamompaddled --settings=FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const log4cplus::Initializer initializer;
    return cardamompaddle::runDaemon();
}
