// The configuration in force at one member: follows the operators' row, and confirms with the store
// that it is still the newest one before a request is handled by it. Runs on the traffic thread, so
// that the decisions of an owner do not delay it.

#pragma once

#include "cell/ports.h"
#include "cell/tablefollower.h"
#include "jobs/customerindex.h"
#include "jobs/queueindex.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cwl::cell {

// A request is handled only if the store has confirmed the configuration in this time, unless the
// store does not respond. Below the time that the platform allows until a version is in force.
constexpr Duration maxConfigAge = milliseconds(1500);
constexpr Duration configPollWait = milliseconds(1000);   // of one poll for changes
constexpr Duration confirmTimeout = milliseconds(400);    // of one confirmation
constexpr Duration confirmRetryPause = milliseconds(500); // after one that failed

class ConfigFollower
{
public:
    using ConfigPointer = std::shared_ptr<const jobs::CellConfig>;
    using Changed = std::function<void(const ConfigPointer &config)>;

    ConfigFollower(boost::asio::io_context &context, TableStore &store, RowReader reader,
                   Changed changed);
    ~ConfigFollower();

    void start();
    void expedite() { m_follower.expedite(); } // the store responds again

    const ConfigPointer &config() const { return m_config; } // null: none yet
    const jobs::Queue *findQueue(const std::string &host, const std::string &path) const;
    bool hasCustomers() const { return m_customers && m_customers->isInForce(); }
    const jobs::Customer *findCustomer(const std::string &key) const;
    TimePoint lastResponse() const { return m_follower.lastResponse(); } // of the store

    // True if the store has confirmed the configuration within `maxConfigAge`.
    bool isFresh(TimePoint now) const;
    // Asks the store for a newer configuration if this one is not fresh. Calls back with true once
    // the newest one is in force, with false if the store does not respond in time.
    void confirm(TimePoint deadline, std::function<void(bool isConfirmed)> callback);

private:
    void onRows(const std::vector<Row> &rows);
    void sendConfirmation(TimePoint deadline);
    void onConfirmation(TimePoint sentAt, const absl::StatusOr<Page> &page);

    TableStore &m_store;
    const RowReader m_reader;
    const Changed m_changed;
    TableFollower m_follower;
    ConfigPointer m_config;
    std::unique_ptr<jobs::QueueIndex> m_queues;
    std::unique_ptr<jobs::CustomerIndex> m_customers;
    std::vector<std::function<void(bool)>> m_waiting; // for the confirmation in flight
    Revision m_revision = {};                         // of the newest row seen
    TimePoint m_confirmedAt = {};                     // by a confirmation
    TimePoint m_noConfirmationBefore = {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
