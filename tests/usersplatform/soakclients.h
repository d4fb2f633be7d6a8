// Clients of the soak: each keeps a connection to a member, hands jobs in, repeats what got no
// answer at other members, asks for states and cancels some jobs. Notes what the answers promised.

#pragma once

#include "http/client.h"
#include "usersplatform/deployment.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cwl::usersplatform {

constexpr std::array<const char *, 3> soakCustomers = {"north", "south", "east"};

// Each customer has two keys; the second one may be withdrawn.
inline std::string soakKey(size_t customer, bool isSecond)
{
    return std::string(soakCustomers[customer]) + (isSecond ? "-key-2" : "-key-1");
}

inline size_t soakCustomerOf(const std::string &job)
{
    return size_t(job[7] - '1') % soakCustomers.size(); // ids begin with the client's number
}

class SoakClients
{
public:
    SoakClients(Deployment &deployment, uint64_t seed);
    ~SoakClients();

    void stopSubmitting() { m_isSubmitting = false; }

    void setWithdrawn(const std::string &key, TimePoint from); // max(): it is not
    void noteStoreHarmed(size_t member, TimePoint until);

    // What is known so far. Any thread.
    std::vector<std::string> unfinished() const; // accepted jobs not shown as ended
    std::vector<std::string> broken() const;     // answers that are untrue by themselves
    std::vector<std::string> refused() const;    // every attempt was refused
    std::map<std::string, std::vector<std::string>> shownCompleted() const; // with their tasks
    bool isCancelled(const std::string &id) const;
    std::string summary() const;

private:
    struct Job
    {
        int steps = 1;
        bool isAccepted = false;
        bool isUncertain = false; // an attempt had no answer that tells
        bool isCancelled = false; // and that was acknowledged
        std::string end = {};     // final state as shown
    };

    void run(size_t client, uint64_t seed);
    void submit(const std::string &id, int steps, size_t member);
    void cancel(const std::string &id, size_t member);
    void look(const std::string &id, size_t member);
    int call(const std::string &method, const std::string &id, const std::string &body,
             size_t member, std::string *answer = nullptr);
    std::string anyAccepted(std::mt19937_64 &random, bool isOpen) const;

    Deployment &m_deployment;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::unique_ptr<http::Client>>
            m_clients; // one of each member; they keep connections
    std::thread m_network;
    std::atomic<size_t> m_calls = 0;
    std::atomic<bool> m_isSubmitting = true;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex; // guards what follows
    std::map<std::string, Job> m_jobs;
    std::vector<std::string> m_broken;
    std::map<std::string, TimePoint> m_withdrawn; // keys
    std::vector<TimePoint> m_storeHarmedUntil;    // that the member may not reach
    size_t m_lateCalls = 0;                       // with a key whose withdrawal had to be in force
    std::vector<std::thread> m_threads;           // last: they use the others
};

} // namespace cwl::usersplatform
