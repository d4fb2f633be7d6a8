#include "node/log.h"

#include "base/error.h"
#include "node/logline.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <mutex>

namespace cwl::log {

namespace {

constexpr int maxWaitingLines = 4096; // between the callers and the writing thread

constexpr std::array<const char *, 5> levelNames = {"trace", "debug", "info", "warn", "error"};

std::atomic<Level> currentLevel = Level::Info;

class Output
{
public:
    Output()
        : m_logger(log4cxx::Logger::getLogger("cwl"))
    {
        m_appender = std::make_shared<log4cxx::AsyncAppender>();
        m_appender->setBufferSize(maxWaitingLines);
        // A reader of the log that stalls must not stall the control thread.
        m_appender->setBlocking(false);
        setStream(Stream::Error);
        m_logger->addAppender(m_appender);
        m_logger->setAdditivity(false);
        m_logger->setLevel(log4cxx::Level::getAll());
        // log4cxx makes its level objects at first use. Made before finish() is registered, they
        // are destroyed after it, when the writing thread no longer reads them.
        for (const Level level :
             {Level::Trace, Level::Debug, Level::Info, Level::Warn, Level::Error})
            libraryLevel(level);
        std::atexit(finish);
    }

    void setStream(Stream stream)
    {
        const auto layout = std::make_shared<log4cxx::PatternLayout>(
                "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z level=%p %m%n");
        m_appender->removeAllAppenders();
        m_appender->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
                layout,
                stream == Stream::Output ? log4cxx::ConsoleAppender::getSystemOut()
                                         : log4cxx::ConsoleAppender::getSystemErr()));
    }

    void write(Level level, const std::string &name, Pairs pairs)
    {
        std::optional<uint64_t> dropped;
        {
            const std::lock_guard lock(m_mutex);
            dropped = m_rateLimit.admit(name, BootClock::now());
        }
        if (dropped && !m_isFinished)
            m_logger->forcedLog(libraryLevel(level), formatLine(name, pairs, *dropped));
    }

    void close()
    {
        if (!m_isFinished.exchange(true))
            m_appender->close();
    }

private:
    static log4cxx::LevelPtr libraryLevel(Level level)
    {
        switch (level) {
        case Level::Trace:
            return log4cxx::Level::getTrace();
        case Level::Debug:
            return log4cxx::Level::getDebug();
        case Level::Info:
            return log4cxx::Level::getInfo();
        case Level::Warn:
            return log4cxx::Level::getWarn();
        case Level::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    log4cxx::LoggerPtr m_logger;
    std::shared_ptr<log4cxx::AsyncAppender> m_appender;
    std::atomic<bool> m_isFinished = false;
    std::mutex m_mutex; // guards m_rateLimit
    RateLimit m_rateLimit;
};

// Never destroyed: threads may log until the process ends.
Output &output()
{
    static auto *const instance = new Output();
    return *instance;
}

} // namespace

void setLevel(Level level)
{
    currentLevel = level;
}

Level level()
{
    return currentLevel;
}

bool isEnabled(Level level)
{
    return level >= currentLevel.load(std::memory_order_relaxed);
}

absl::StatusOr<Level> levelFromName(const std::string &name)
{
    for (size_t index = 0; index < levelNames.size(); ++index) {
        if (name == levelNames[index])
            return static_cast<Level>(index);
    }
    return makeError(Failure::InvalidValue, "'" + name + "' is not a log level",
                     {.field = "logLevel", .limit = "trace, debug, info, warn or error"});
}

const char *levelName(Level level)
{
    return levelNames[static_cast<size_t>(level)];
}

void event(Level level, const std::string &name, Pairs pairs)
{
    if (isEnabled(level))
        output().write(level, name, pairs);
}

void setStream(Stream stream)
{
    output().setStream(stream);
}

void finish()
{
    output().close();
}

} // namespace cwl::log
