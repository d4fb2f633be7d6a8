#include "cell/storeprobe.h"

#include "cell/tables.h"
#include "node/log.h"

#include <utility>

namespace cwl::cell {

StoreProbe::StoreProbe(boost::asio::io_context &context, TableStore &store,
                       std::function<void()> regained)
    : m_store(store)
    , m_regained(std::move(regained))
    , m_timer(context)
{
}

StoreProbe::~StoreProbe()
{
    *m_alive = false;
}

void StoreProbe::start()
{
    if (std::exchange(m_isProbing, true))
        return;
    send();
}

void StoreProbe::send()
{
    if (!m_isProbing)
        return;
    m_store.read({.table = leaseTable,
                  .part = ownerPart,
                  .from = ownerKey,
                  .until = std::string(ownerKey) + "!"},
                 BootClock::now() + storeProbeTimeout,
                 [this, alive = m_alive](const absl::StatusOr<Page> &page) {
                     if (!*alive || !page.ok() || !std::exchange(m_isProbing, false))
                         return;
                     m_timer.cancel();
                     log::info("store_responds_again", {});
                     m_regained();
                 });
    m_timer.expires_after(storeProbeInterval);
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (!error && *alive)
            send();
    });
}

} // namespace cwl::cell
