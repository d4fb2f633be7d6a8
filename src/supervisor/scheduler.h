// Where a supervisor tree takes its time from and runs its steps: the control thread, or a test.

#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cwl::supervisor {

class Scheduler
{
public:
    virtual ~Scheduler() = default;
    virtual TimePoint now() const = 0;

    // Runs `step` soon, never within this call. Any thread.
    virtual void post(std::function<void()> step) = 0;

    // Runs `step` at `instant` or soon after. On the thread that runs the steps.
    virtual void postAt(TimePoint instant, std::function<void()> step) = 0;
};

// Runs the steps on `context`, which must outlive the scheduler and be run by one thread.
std::shared_ptr<Scheduler> createScheduler(boost::asio::io_context &context);

} // namespace cwl::supervisor
