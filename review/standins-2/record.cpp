#include "record.h"

#include <iomanip>
#include <iostream>

namespace cwl::review {

Record::Record(const std::string &path)
    : m_start(BootClock::now())
    , m_file(path, std::ios::trunc)
{
}

int64_t Record::elapsedMs() const
{
    return std::chrono::duration_cast<milliseconds>(BootClock::now() - m_start).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << double(elapsedMs()) / 1000
           << "  " << text << std::endl;
}

} // namespace cwl::review
