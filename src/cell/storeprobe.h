// Finds out when a store that does not respond is back. Calls that were sent during the outage may
// never be answered, and they wait for their deadlines, so short reads are sent until one succeeds.

#pragma once

#include "cell/ports.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cwl::cell {

constexpr Duration storeProbeInterval = milliseconds(200);
constexpr Duration storeProbeTimeout = milliseconds(300); // reads may overlap

class StoreProbe
{
public:
    // `regained` is called once for each start(), when the store has responded.
    StoreProbe(boost::asio::io_context &context, TableStore &store, std::function<void()> regained);
    ~StoreProbe();

    void start(); // does nothing while it probes already
    bool isProbing() const { return m_isProbing; }

private:
    void send();

    TableStore &m_store;
    const std::function<void()> m_regained;
    boost::asio::basic_waitable_timer<BootClock> m_timer;
    bool m_isProbing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
