#include "checker/configcheck.h"

#include "checker/figures.h"
#include "jobs/dispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace cwl::checker {

namespace {

using jobs::CellConfig;
using jobs::CustomerEntry;
using jobs::Queue;

using Findings = std::vector<Finding>;

void warn(Findings &findings, const char *code, const std::string &entry, std::string message)
{
    findings.push_back({Severity::Warning, code, entry, std::move(message)});
}

// Section: queues

void checkQueueNames(const CellConfig &config, Findings &findings)
{
    std::set<std::string> names;
    for (const Queue &queue : config.queues) {
        if (!queue.name.empty() && !names.insert(queue.name).second)
            findings.push_back({Severity::Error, "duplicate-queue", "queue " + queue.name,
                                "an earlier queue has the same name"});
    }
}

// A printable character that may stand in a path. Clients send no fragment, and the query is not a
// part of the path.
bool isPathCharacter(char c)
{
    return c > ' ' && c < '\x7f' && c != '?' && c != '#';
}

bool isPathStart(const std::string &prefix)
{
    return prefix.front() == '/' && std::all_of(prefix.begin(), prefix.end(), isPathCharacter);
}

void checkPrefix(const Queue &queue, const std::string &entry, Findings &findings)
{
    if (queue.prefix.empty())
        warn(findings, "empty-prefix", entry,
             "its path prefix is empty, so what follows the prefix is never the id of a job");
    else if (!isPathStart(queue.prefix))
        warn(findings, "unmatchable-prefix", entry,
             "no path begins with its path prefix: it must start with a slash and have no white "
             "space, query or fragment");
}

// The port is removed from the host of a request before it is compared.
void checkHost(const Queue &queue, const std::string &entry, Findings &findings)
{
    const auto isHostCharacter = [](char c) { return isPathCharacter(c) && c != ':' && c != '/'; };
    if (queue.host.empty())
        warn(findings, "unmatchable-host", entry,
             "it has no host, which every HTTP/1.1 request names");
    else if (!std::all_of(queue.host.begin(), queue.host.end(), isHostCharacter))
        warn(findings, "unmatchable-host", entry,
             "no request has its host: it must have no port, path or white space");
}

void checkQueueMatches(const CellConfig &config, Findings &findings)
{
    std::map<std::pair<std::string, std::string>, std::string> seen;
    for (size_t position = 0; position < config.queues.size(); ++position) {
        const Queue &queue = config.queues[position];
        const std::string entry = entryLabel("queue", queue.name, position);
        checkHost(queue, entry, findings);
        checkPrefix(queue, entry, findings);
        const auto [first, isNew] = seen.try_emplace({queue.host, queue.prefix}, entry);
        if (!isNew)
            warn(findings, "hidden-queue", entry,
                 absl::StrCat("the earlier ", first->second,
                              " has the same host and path prefix and gets all its requests"));
    }
}

void checkQueueServices(const CellConfig &config, Findings &findings)
{
    const std::set<std::string> services(config.services.begin(), config.services.end());
    for (size_t position = 0; position < config.queues.size(); ++position) {
        const Queue &queue = config.queues[position];
        if (queue.service.empty() || !services.contains(queue.service))
            warn(findings, "unknown-service", entryLabel("queue", queue.name, position),
                 queue.service.empty()
                         ? std::string("it names no service, so no worker runs its jobs")
                         : absl::StrCat("its service ", queue.service,
                                        " is not in the configuration, so no worker runs its "
                                        "jobs"));
    }
}

void checkAdvice(const CellConfig &config, Findings &findings)
{
    for (size_t position = 0; position < config.queues.size(); ++position) {
        const Queue &queue = config.queues[position];
        if (!queue.advice)
            continue;
        const std::string entry = entryLabel("queue", queue.name, position);
        const Duration decision = queue.advice->decision + queue.advice->perWorker;
        const std::string validity =
                "the validity of its advice, " + millisecondsText(queue.advice->validity);
        if (queue.advice->validity < decision)
            warn(findings, "short-advice-validity", entry,
                 absl::StrCat(validity, ", is shorter than a decision about one worker, ",
                              millisecondsText(decision)));
        else if (queue.advice->validity <= jobs::ticketMargin)
            warn(findings, "short-advice-validity", entry,
                 absl::StrCat(validity, ", is not above the margin of a start, ",
                              millisecondsText(jobs::ticketMargin)));
    }
}

// Section: customers

const std::vector<CustomerEntry> &customersOf(const CellConfig &config)
{
    static const std::vector<CustomerEntry> none;
    return config.customers ? *config.customers : none;
}

std::string labelOf(const CustomerEntry &entry)
{
    return "customer " + entry.customer.id.value();
}

void checkCustomerNames(const CellConfig &config, Findings &findings)
{
    std::set<CustomerId> names;
    for (const CustomerEntry &entry : customersOf(config)) {
        if (!names.insert(entry.customer.id).second)
            findings.push_back({Severity::Error, "duplicate-customer", labelOf(entry),
                                "an earlier customer has the same name"});
    }
}

void checkKeys(const CellConfig &config, Findings &findings)
{
    std::unordered_map<KeyDigest, const CustomerEntry *> owners;
    for (const CustomerEntry &entry : customersOf(config)) {
        if (entry.keys.empty())
            warn(findings, "no-keys", labelOf(entry),
                 "it has no usable key, so no request is recognised as its own");
        for (size_t position = 0; position < entry.keys.size(); ++position) {
            const auto [first, isNew] = owners.emplace(entry.keys[position], &entry);
            if (isNew)
                continue;
            const std::string key = absl::StrCat("usable key ", position + 1);
            if (first->second == &entry)
                warn(findings, "repeated-key", labelOf(entry),
                     key + " is the same as an earlier one of this customer");
            else
                warn(findings, "shared-key", labelOf(entry),
                     absl::StrCat(key, " is also a key of the earlier ", labelOf(*first->second),
                                  ", which gets all requests with it"));
        }
    }
}

void checkWeights(const CellConfig &config, Findings &findings)
{
    for (const CustomerEntry &entry : customersOf(config)) {
        if (entry.customer.weight == 0 && !entry.keys.empty())
            warn(findings, "zero-weight", labelOf(entry),
                 "it has keys and the weight 0, which counts as one job a second");
    }
}

void checkCaps(const CellConfig &config, Findings &findings)
{
    for (const CustomerEntry &entry : customersOf(config)) {
        const Resources &cap = entry.customer.cap;
        if (cap.cores.value() > 0 && cap.cores < minUsableCores)
            warn(findings, "unusable-cap", labelOf(entry),
                 absl::StrCat("its cap of ", millicoresText(cap.cores),
                              " is below what one task uses, ", millicoresText(minUsableCores)));
        if (cap.memory.value() > 0 && cap.memory < minUsableMemory)
            warn(findings, "unusable-cap", labelOf(entry),
                 absl::StrCat("its cap of ", mebibytesText(cap.memory),
                              " is below what one task uses, ", mebibytesText(minUsableMemory)));
    }
}

constexpr std::array checks = {
        checkQueueNames,    checkQueueMatches, checkQueueServices, checkAdvice,
        checkCustomerNames, checkKeys,         checkWeights,       checkCaps,
};

} // namespace

std::vector<Finding> checkConfig(const CellConfig &config)
{
    Findings findings;
    for (const auto check : checks)
        check(config, findings);
    return findings;
}

std::vector<Finding> checkVersion(const CellConfig &inForce, const CellConfig &config)
{
    if (config.version > inForce.version)
        return {};
    return {{Severity::Error, "version-not-higher", wholeConfig,
             absl::StrCat("its version ", config.version, " is not above the one in force, ",
                          inForce.version, ", so the members ignore it")}};
}

} // namespace cwl::checker
