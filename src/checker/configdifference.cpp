#include "checker/configdifference.h"

#include "checker/figures.h"
#include "checker/finding.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace cwl::checker {

namespace {

using jobs::AdvicePolicy;
using jobs::CellConfig;
using jobs::Customer;
using jobs::CustomerEntry;
using jobs::Queue;

using Differences = std::vector<Difference>;

// Section: fields

// A field of an entry as text; equal texts are equal values.
template <typename Entry>
struct TextField
{
    const char *name;
    std::string (*text)(const Entry &entry);
};

template <Duration AdvicePolicy::*duration>
std::string adviceText(const Queue &queue)
{
    return queue.advice ? millisecondsText((*queue.advice).*duration) : "none";
}

std::string capText(bool isLimited, const std::string &text)
{
    return isLimited ? text : "no limit";
}

constexpr std::array configFields = {
        TextField<CellConfig>{
                "version", [](const CellConfig &config) { return absl::StrCat(config.version); }},
        TextField<CellConfig>{"customers in force",
                              [](const CellConfig &config) {
                                  return std::string(config.customers ? "yes" : "no");
                              }},
        TextField<CellConfig>{"body limit",
                              [](const CellConfig &config) {
                                  return absl::StrCat(config.maxBodyBytes, " bytes");
                              }},
};

constexpr std::array queueFields = {
        TextField<Queue>{"host", [](const Queue &queue) { return queue.host; }},
        TextField<Queue>{"path prefix", [](const Queue &queue) { return queue.prefix; }},
        TextField<Queue>{"service", [](const Queue &queue) { return queue.service; }},
        TextField<Queue>{"priority",
                         [](const Queue &queue) { return absl::StrCat(queue.priority); }},
        TextField<Queue>{"attempts",
                         [](const Queue &queue) { return absl::StrCat(queue.maxAttempts); }},
        TextField<Queue>{"slowdown",
                         [](const Queue &queue) { return absl::StrCat(queue.maxSlowdown); }},
        TextField<Queue>{
                "latency",
                [](const Queue &queue) { return millisecondsText(queue.latencyAllowance); }},
        TextField<Queue>{
                "anonymous",
                [](const Queue &queue) { return std::string(queue.isAnonymous ? "yes" : "no"); }},
        TextField<Queue>{"advice decision", adviceText<&AdvicePolicy::decision>},
        TextField<Queue>{"advice for each worker", adviceText<&AdvicePolicy::perWorker>},
        TextField<Queue>{"advice validity", adviceText<&AdvicePolicy::validity>},
};

constexpr std::array customerFields = {
        TextField<Customer>{"weight",
                            [](const Customer &customer) { return absl::StrCat(customer.weight); }},
        TextField<Customer>{"cap of cores",
                            [](const Customer &customer) {
                                return capText(customer.cap.cores.value() > 0,
                                               millicoresText(customer.cap.cores));
                            }},
        TextField<Customer>{"cap of memory",
                            [](const Customer &customer) {
                                return capText(customer.cap.memory.value() > 0,
                                               mebibytesText(customer.cap.memory));
                            }},
        TextField<Customer>{"cap of accelerators",
                            [](const Customer &customer) {
                                const int64_t cap = customer.cap.accelerators.value();
                                return capText(cap > 0, absl::StrCat(cap));
                            }},
};

template <typename Fields, typename Entry>
void compareFields(const Fields &fields, const std::string &label, const Entry &before,
                   const Entry &after, Differences &found)
{
    for (const auto &field : fields) {
        const std::string old = field.text(before);
        const std::string now = field.text(after);
        if (old != now)
            found.push_back({Change::Changed, label, field.name, old, now});
    }
}

// Section: keys

void compareKeys(const std::string &label, const std::vector<KeyDigest> &before,
                 const std::vector<KeyDigest> &after, Differences &found)
{
    const std::set<KeyDigest> old(before.begin(), before.end());
    const std::set<KeyDigest> now(after.begin(), after.end());
    const auto added = std::count_if(now.begin(), now.end(),
                                     [&old](const KeyDigest &key) { return !old.contains(key); });
    const auto removed = std::count_if(old.begin(), old.end(),
                                       [&now](const KeyDigest &key) { return !now.contains(key); });
    if (added > 0)
        found.push_back({Change::Changed, label, "keys added", {}, absl::StrCat(added)});
    if (removed > 0)
        found.push_back({Change::Changed, label, "keys removed", {}, absl::StrCat(removed)});
}

// Section: entries

void compareQueue(const std::string &label, const Queue &before, const Queue &after,
                  Differences &found)
{
    compareFields(queueFields, label, before, after, found);
}

void compareCustomer(const std::string &label, const CustomerEntry &before,
                     const CustomerEntry &after, Differences &found)
{
    compareFields(customerFields, label, before.customer, after.customer, found);
    compareKeys(label, before.keys, after.keys, found);
}

// The entries by label, the first of each.
template <typename Entry>
using ByLabel = std::map<std::string, const Entry *>;

ByLabel<Queue> queuesOf(const CellConfig &config)
{
    ByLabel<Queue> queues;
    for (size_t position = 0; position < config.queues.size(); ++position) {
        const Queue &queue = config.queues[position];
        queues.emplace(entryLabel("queue", queue.name, position), &queue);
    }
    return queues;
}

ByLabel<std::string> servicesOf(const CellConfig &config)
{
    ByLabel<std::string> services;
    for (size_t position = 0; position < config.services.size(); ++position)
        services.emplace(entryLabel("service", config.services[position], position),
                         &config.services[position]);
    return services;
}

ByLabel<CustomerEntry> customersOf(const CellConfig &config)
{
    ByLabel<CustomerEntry> customers;
    if (!config.customers)
        return customers;
    for (const CustomerEntry &entry : *config.customers)
        customers.emplace("customer " + entry.customer.id.value(), &entry);
    return customers;
}

template <typename Entry, typename Compare>
void compareEntries(const ByLabel<Entry> &before, const ByLabel<Entry> &after, Compare compare,
                    Differences &found)
{
    for (const auto &[label, entry] : before) {
        if (!after.contains(label))
            found.push_back({Change::Removed, label});
    }
    for (const auto &[label, entry] : after) {
        const auto old = before.find(label);
        if (old == before.end())
            found.push_back({Change::Added, label});
        else
            compare(label, *old->second, *entry, found);
    }
}

} // namespace

std::vector<Difference> differences(const CellConfig &inForce, const CellConfig &next)
{
    Differences found;
    compareFields(configFields, wholeConfig, inForce, next, found);
    compareEntries(queuesOf(inForce), queuesOf(next), compareQueue, found);
    const auto nothing = [](const auto &...) {};
    compareEntries(servicesOf(inForce), servicesOf(next), nothing, found);
    compareEntries(customersOf(inForce), customersOf(next), compareCustomer, found);
    return found;
}

} // namespace cwl::checker
