// What a case sent, got and saw its runners do: one line an event, with the time since the start.

#pragma once

#include "base/clock.h"

#include <fstream>
#include <mutex>
#include <string>

namespace cwl::review {

class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text); // any thread
    int64_t elapsedMs() const;

private:
    const TimePoint m_start;
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace cwl::review
