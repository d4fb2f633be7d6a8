// The poll of one worker. Internal to this library.

#pragma once

#include "cell/owner.h"

#include <utility>

namespace cwl::cell {

// The poll of one worker: one call at a time, so that reports stay in order.
struct Owner::Watch
{
    Watch(boost::asio::io_context &context, WorkerId workerId)
        : id(std::move(workerId))
        , timer(context)
    {
    }

    WorkerId id;
    WorkerTarget target = {};
    Timer timer;
    bool keepsConnection = false;
    bool isPaused = false; // no poll is in flight; the timer sends the next one
    bool isWaitingForWrite = false;
    bool isUnreachable = false;
    bool wasIdentification = false; // the last poll
    TimePoint waitingSince = {};
};

} // namespace cwl::cell
