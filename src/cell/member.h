// One member of the cell: the owner's part on the control thread, the callers' part on the traffic
// thread, and requests between members, on the node's HTTP port.

#pragma once

#include "cell/entry.h"
#include "cell/owner.h"
#include "cell/ports.h"
#include "cell/settings.h"
#include "node/node.h"

#include <atomic>
#include <memory>

namespace cwl::cell {

// Time between the signal to stop and the moment from which connections are closed: the balancer
// notices within two polls a second apart, and clients go on using open connections.
constexpr Duration stopServingDelay = milliseconds(3600);
constexpr Duration stopReserve = milliseconds(500); // before the platform kills the process

// The platform interfaces of a member; store and advice service exist once for each thread.
struct PlatformLinks
{
    std::unique_ptr<TableStore> controlStore;
    std::unique_ptr<TableStore> trafficStore;
    std::unique_ptr<WorkerGateway> workers;       // on the control thread
    std::unique_ptr<AdviceService> controlAdvice; // for this member when it owns the cell
    std::unique_ptr<AdviceService> trafficAdvice; // on behalf of another owner
    RowReader reader;
};

class Member
{
public:
    Member(const CellSettings &settings, node::Node &node, PlatformLinks links);

    // Called on the traffic thread with each configuration that comes into force.
    std::function<void(const jobs::CellConfig &config)> configChanged;

    Entry &entry() { return *m_entry; }
    bool isReady() const; // any thread

private:
    void addRoutes(node::Node &node);
    void respondFromControl(const http::Responder &respond,
                            std::function<std::optional<Json::Value>()> query);
    void advise(const http::Request &request, const http::Responder &respond);

    node::Node &m_node;
    PlatformLinks m_links;
    std::unique_ptr<Owner> m_owner;
    std::unique_ptr<Entry> m_entry;
    std::atomic<bool> m_isStopping = false;
    boost::asio::basic_waitable_timer<BootClock> m_stopTimer;
};

} // namespace cwl::cell
