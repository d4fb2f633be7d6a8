#include "jobs/customeraccounts.h"

#include <algorithm>

namespace cwl::jobs {

int64_t ArrivalCounter::add(UnixMilliseconds arrivedAt)
{
    const int64_t number = std::max<int64_t>(0, arrivedAt.value()) / 1000;
    Second &second = m_seconds[size_t(number) % seconds];
    if (second.number > number)
        return 1;
    if (second.number < number)
        second = {number, 0};
    return ++second.arrivals;
}

CustomerAccount &CustomerAccounts::open(const Customer &customer)
{
    std::unique_ptr<CustomerAccount> &account = m_accounts[customer.id];
    if (!account) {
        account = std::make_unique<CustomerAccount>();
        account->customer = customer;
    }
    return *account;
}

void CustomerAccounts::update(const Customer &customer)
{
    open(customer).customer = customer;
}

const CustomerAccount *CustomerAccounts::find(const CustomerId &id) const
{
    const auto found = m_accounts.find(id);
    return found == m_accounts.end() ? nullptr : found->second.get();
}

void addRun(CustomerAccount *account, const Resources &resources)
{
    if (!account)
        return;
    account->used = account->used + resources;
    ++account->runs;
}

void removeRun(CustomerAccount *account, const Resources &resources)
{
    if (!account)
        return;
    account->used = account->used - resources;
    --account->runs;
}

namespace {

int64_t within(int64_t cap, int64_t used, int64_t each)
{
    if (cap <= 0 || each <= 0)
        return INT64_MAX;
    return std::max<int64_t>(0, cap - used) / each;
}

double part(int64_t used, int64_t capacity)
{
    return capacity <= 0 ? 0 : double(used) / double(capacity);
}

} // namespace

int64_t tasksWithinCap(const CustomerAccount *account, const Resources &each)
{
    if (!account)
        return INT64_MAX;
    const Resources &cap = account->customer.cap;
    const Resources used = account->used + account->mayBeUsed;
    return std::min({within(cap.cores.value(), used.cores.value(), each.cores.value()),
                     within(cap.memory.value(), used.memory.value(), each.memory.value()),
                     within(cap.accelerators.value(), used.accelerators.value(),
                            each.accelerators.value())});
}

double dominantShare(const CustomerAccount &account, const Resources &capacity)
{
    return std::max({part(account.used.cores.value(), capacity.cores.value()),
                     part(account.used.memory.value(), capacity.memory.value()),
                     part(account.used.accelerators.value(), capacity.accelerators.value())});
}

} // namespace cwl::jobs
