// What each customer has running on all workers, against its cap and its share.
//
// A run counts from its order until it is known to have ended. After a change of the owner, runs on
// workers that have not reported yet count as far as they are possible, so that a cap holds at any
// moment.

#pragma once

#include "jobs/types.h"

#include <array>
#include <memory>
#include <string>
#include <unordered_map>

namespace cwl::jobs {

// Counts the arrivals of one customer by second, in any order: an owner that takes over learns of
// earlier jobs in no particular order.
class ArrivalCounter
{
public:
    // Counts an arrival and returns how many, with it, have arrived in the same second. Arrivals
    // more than `seconds` older than the newest one count as the first of their second.
    int64_t add(UnixMilliseconds arrivedAt);

private:
    static constexpr size_t seconds = 64;
    struct Second
    {
        int64_t number = -1; // Unix seconds
        int64_t arrivals = 0;
    };
    std::array<Second, seconds> m_seconds = {};
};

struct CustomerAccount
{
    Customer customer;        // newest settings known
    Resources used = {};      // by its runs
    Resources mayBeUsed = {}; // besides, on workers that have not reported since the takeover
    size_t runs = 0;
    ArrivalCounter arrivals = {};
};

class CustomerAccounts
{
public:
    void clear() { m_accounts.clear(); }

    // The account of a customer, which is created if it does not exist. It stays valid until
    // clear(). Settings of a configuration replace those that a job was accepted with.
    CustomerAccount &open(const Customer &customer);
    void update(const Customer &customer); // settings of the configuration in force
    const CustomerAccount *find(const CustomerId &id) const;

    const std::unordered_map<CustomerId, std::unique_ptr<CustomerAccount>> &all() const
    {
        return m_accounts;
    }

private:
    std::unordered_map<CustomerId, std::unique_ptr<CustomerAccount>> m_accounts;
};

// Counts or no longer counts a run. `account` may be null: nothing is counted.
void addRun(CustomerAccount *account, const Resources &resources);
void removeRun(CustomerAccount *account, const Resources &resources);

// How many more tasks of `each` the cap allows; INT64_MAX without a cap or an account.
int64_t tasksWithinCap(const CustomerAccount *account, const Resources &each);

// The largest part of one resource of `capacity` that the account uses, from 0 to 1.
double dominantShare(const CustomerAccount &account, const Resources &capacity);

} // namespace cwl::jobs
