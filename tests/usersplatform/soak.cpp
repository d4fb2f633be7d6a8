// Plays failures drawn by a seed against members of the cell as processes, while clients submit,
// ask for and cancel jobs on kept connections, and checks what callers and workers see. Exit code 0
// if every promise was kept.

#include "base/json.h"
#include "harness/call.h"
#include "http/client.h"
#include "usersplatform/deployment.h"
#include "usersplatform/soakclients.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <stdexcept>

namespace {

using namespace cwl;
using namespace cwl::usersplatform;

constexpr const char *usage =
        R"(Plays random failures against members of the cell and checks the promises.

Usage:
  cell-soak [--seconds N] [--seed S]
  cell-soak --help

Options:
  --seconds N  time in which failures begin [default: 10]
  --seed S     of the failures and the jobs [default: 1]
)";

constexpr int faultPauseMs = 700;          // at most, between the beginnings of two failures
constexpr Duration patience = seconds(60); // until all is done after the last failure

constexpr int64_t longestLinkHarmMs = 6000;
// Cores; each task asks for one. The first customer has two clients, the others one each.
constexpr std::array<int64_t, soakCustomers.size()> highestCaps = {5, 3, 3};
constexpr double capOvershoot = 1.1; // tolerated, and one task

// Of the configuration. In place of a withdrawn key it repeats the other one.
std::string entry(size_t customer, int64_t cap, bool isKeyWithdrawn = false)
{
    return absl::StrCat(R"({"name":")", soakCustomers[customer], R"(","apiKeys":[")",
                        soakKey(customer, false), R"(",")", soakKey(customer, !isKeyWithdrawn),
                        R"("],"weight":3,"cap":{"cpu":)", cap, "000}}");
}

class Soak
{
public:
    Soak(uint64_t seed, Duration time)
        : m_time(time)
        , m_random(seed)
        , m_deployment({.members = 4,
                        .workers = 5,
                        .seed = seed,
                        .binFolder = CWL_BIN_FOLDER,
                        .customers = absl::StrJoin(m_customers, ",")})
    {
    }

    int run(uint64_t seed);

private:
    using Action = std::function<void()>;

    int64_t draw(int64_t least, int64_t most)
    {
        return std::uniform_int_distribution<int64_t>(least, most)(m_random);
    }
    void later(int64_t ms, Action action)
    {
        m_actions.emplace(BootClock::now() + milliseconds(ms), std::move(action));
    }
    void note(const std::string &what) { std::cout << "fault " << what << "\n"; }
    void beginFault();
    void killMember(size_t index);
    void terminateMember(size_t index);
    void pauseMember(size_t index);
    void harmLink(const std::string &name, standins::ProxyLink &link);
    void harmStore();
    void restartWorker(size_t index);
    void putCustomer(size_t customer, int64_t cap, bool isKeyWithdrawn);
    void changeConfig();
    void judgeCap(const std::string &task);
    void runDue(TimePoint now);
    void restoreAll();
    std::vector<std::string> judge(SoakClients &clients);

    const Duration m_time;
    std::mt19937_64 m_random;
    std::array<std::string, soakCustomers.size()> m_customers = {
            entry(0, highestCaps[0]), entry(1, highestCaps[1]), entry(2, highestCaps[2])};
    Deployment m_deployment;
    SoakClients *m_clients = nullptr;           // from the first failure on
    std::multimap<TimePoint, Action> m_actions; // ends of failures, and restarts
    int m_configVersion = 3;
};

// Section: failures

void Soak::killMember(size_t index)
{
    MemberProcess &member = m_deployment.member(index);
    if (!member.process)
        return;
    note(absl::StrCat("kill member ", index));
    member.process.reset(); // kills it and waits for its end
    later(draw(100, 3000), [this, index] { (void)m_deployment.startMember(index); });
}

void Soak::terminateMember(size_t index)
{
    MemberProcess &member = m_deployment.member(index);
    if (!member.process || member.isPaused)
        return;
    note(absl::StrCat("terminate member ", index));
    member.process->terminate();
    later(6000, [this, index] { // the platform kills it then, and starts it again
        m_deployment.member(index).process.reset();
        (void)m_deployment.startMember(index);
    });
}

void Soak::pauseMember(size_t index)
{
    MemberProcess &member = m_deployment.member(index);
    if (!member.process || member.isPaused)
        return;
    const int64_t time = draw(300, 6000);
    note(absl::StrCat("pause member ", index, " for ", time, " ms"));
    member.process->pause();
    member.isPaused = true;
    later(time, [this, index, life = member.lives] {
        MemberProcess &paused = m_deployment.member(index);
        if (paused.process && paused.lives == life)
            paused.process->resume();
        paused.isPaused = false;
    });
}

void Soak::harmLink(const std::string &name, standins::ProxyLink &link)
{
    const std::vector<std::string> begins = {R"({"cut":"both"})",     R"({"cut":"toTarget"})",
                                             R"({"cut":"toClient"})", R"({"delayMs":150})",
                                             R"({"refuse":true})",    R"({"silenceOpen":true})",
                                             R"({"closeOpen":true})", R"({"freeze":"both"})"};
    const std::string &begin = begins[size_t(draw(0, int64_t(begins.size()) - 1))];
    const int64_t time = draw(300, longestLinkHarmMs);
    note(absl::StrCat(name, " ", begin, " for ", time, " ms"));
    m_deployment.onStandins([&] { link.command(*parseJson(begin)); });
    later(time, [this, &link] {
        m_deployment.onStandins([&] {
            link.command(
                    *parseJson(R"({"cut":"none","freeze":"none","delayMs":0,"refuse":false})"));
        });
    });
}

void Soak::harmStore()
{
    const int64_t time = draw(300, 5000);
    const int64_t kind = draw(0, 4);
    note(absl::StrCat("store kind ", kind, " for ", time, " ms"));
    // Kinds 0 and 4 leave the configuration readable.
    for (size_t index = 0; kind % 4 != 0 && index < m_deployment.memberCount(); ++index)
        m_clients->noteStoreHarmed(index, BootClock::now() + milliseconds(time));
    m_deployment.onStandins([&] {
        StoreFaults &faults = m_deployment.store().faults;
        faults.lostAnswers = kind == 0 ? 0.35 : 0;
        faults.refuses = kind == 1;
        faults.isSilent = kind == 2;
        faults.refusesSide = kind == 3;
        if (kind == 4)
            m_deployment.store().dropHistory();
    });
    later(time, [this] { m_deployment.onStandins([&] { m_deployment.store().faults = {}; }); });
}

// Its processes follow each other under one id, and some end before the list has their entry.
void Soak::restartWorker(size_t index)
{
    const bool isUp = m_deployment.onStandins([&] { return m_deployment.worker(index).isUp(); });
    if (!isUp)
        return;
    const int64_t downTime = draw(20, 1500);
    const int64_t entryDelay = draw(0, 600);
    note(absl::StrCat("restart worker ", index, " after ", downTime, " ms"));
    m_deployment.onStandins([&] { m_deployment.worker(index).crash(); });
    later(downTime, [this, index] {
        (void)m_deployment.onStandins([&] { return m_deployment.worker(index).startAgain(); });
    });
    later(downTime + entryDelay, [this, index] {
        m_deployment.onStandins([&] {
            const Worker &worker = m_deployment.worker(index);
            m_deployment.store().put("servers", worker.id(),
                                     worker.entry(m_deployment.workerLink(index).port()));
        });
    });
}

void Soak::putCustomer(size_t customer, int64_t cap, bool isKeyWithdrawn)
{
    const std::string key = soakKey(customer, true);
    note(absl::StrCat("configuration ", ++m_configVersion, ": cap ", cap,
                      isKeyWithdrawn ? " without " : " with ", key));
    m_customers[customer] = entry(customer, cap, isKeyWithdrawn);
    m_clients->setWithdrawn(key, TimePoint::max());
    m_deployment.onStandins([this] {
        m_deployment.store().put(
                "op", "config",
                Deployment::configuration(m_configVersion, absl::StrJoin(m_customers, ",")));
    });
    m_clients->setWithdrawn(key, isKeyWithdrawn ? BootClock::now() : TimePoint::max());
}

void Soak::changeConfig()
{
    const auto customer = size_t(draw(0, int64_t(soakCustomers.size()) - 1));
    m_configVersion += int(draw(0, 2));
    putCustomer(customer, draw(1, highestCaps[customer]), draw(0, 2) > 0);
    later(draw(4000, 12000),
          [this, customer] { putCustomer(customer, highestCaps[customer], false); });
}

void Soak::beginFault()
{
    const auto member = size_t(draw(0, int64_t(m_deployment.memberCount()) - 1));
    const auto worker = size_t(draw(0, int64_t(m_deployment.workerCount()) - 1));
    switch (draw(0, 15)) {
    case 0:
    case 1:
        return killMember(member);
    case 2:
        return terminateMember(member);
    case 3:
    case 4:
        return pauseMember(member);
    case 5:
        for (size_t index = 0; index < m_deployment.memberCount(); ++index)
            killMember(index);
        return;
    case 6:
    case 7:
        return harmStore();
    case 8:
        m_clients->noteStoreHarmed(member, BootClock::now() + milliseconds(longestLinkHarmMs));
        return harmLink(absl::StrCat("store link of member ", member),
                        *m_deployment.member(member).storeLink);
    case 9:
    case 15:
        return changeConfig();
    case 10:
    case 11:
    case 12:
        return restartWorker(worker);
    default:
        return harmLink(absl::StrCat("link of worker ", worker), m_deployment.workerLink(worker));
    }
}

void Soak::runDue(TimePoint now)
{
    while (!m_actions.empty() && m_actions.begin()->first <= now) {
        const Action action = m_actions.begin()->second;
        m_actions.erase(m_actions.begin());
        action();
    }
}

void Soak::restoreAll()
{
    while (!m_actions.empty()) {
        runDue(BootClock::now());
        std::this_thread::sleep_for(milliseconds(20));
    }
}

// Section: the promises

// On the thread of the stand-ins, at each start on a worker.
void Soak::judgeCap(const std::string &task)
{
    const size_t customer = soakCustomerOf(task);
    int64_t tasks = 0;
    for (const auto &[other, worker] : m_deployment.ledger().running)
        tasks += soakCustomerOf(other) == customer ? 1 : 0;
    if (double(tasks) > capOvershoot * double(highestCaps[customer]) + 1)
        m_deployment.ledger().broken.push_back(
                absl::StrCat("over the cap of ", soakCustomers[customer], ": ", tasks, " ", task));
}

std::vector<std::string> Soak::judge(SoakClients &clients)
{
    const TimePoint deadline = BootClock::now() + patience;
    std::vector<std::string> open = clients.unfinished();
    while (!open.empty() && BootClock::now() < deadline) {
        std::this_thread::sleep_for(milliseconds(100));
        open = clients.unfinished();
    }
    std::vector<std::string> broken = clients.broken();
    for (const std::string &id : open)
        broken.push_back("accepted and not ended: " + id);
    return m_deployment.onStandins([&] {
        const Ledger &ledger = m_deployment.ledger();
        broken.insert(broken.end(), ledger.broken.begin(), ledger.broken.end());
        for (const std::string &id : clients.refused()) {
            if (ledger.started.contains(id))
                broken.push_back("refused by all and started: " + id);
        }
        for (const auto &[id, tasks] : clients.shownCompleted()) {
            for (const std::string &task : tasks) {
                if (!ledger.done.contains(task))
                    broken.push_back("shown as completed before its task was done: " + task);
            }
        }
        for (const auto &[task, worker] : ledger.running) {
            if (clients.isCancelled(task.substr(0, task.find('.'))))
                broken.push_back("runs on though its job was cancelled: " + task);
        }
        return broken;
    });
}

int Soak::run(uint64_t seed)
{
    std::cout << "seed " << seed << "\n";
    const absl::Status opened = m_deployment.open();
    if (!opened.ok()) {
        std::cerr << "cell-soak: " << opened << "\n";
        return 1;
    }
    m_deployment.onStandins([this] {
        m_deployment.ledger().onStarted = [this](const std::string &task) { judgeCap(task); };
    });
    SoakClients clients(m_deployment, seed);
    m_clients = &clients;
    const TimePoint end = BootClock::now() + m_time;
    TimePoint next = BootClock::now() + seconds(2);
    while (BootClock::now() < end) {
        runDue(BootClock::now());
        if (BootClock::now() >= next) {
            beginFault();
            next = BootClock::now() + milliseconds(draw(0, faultPauseMs));
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    restoreAll();
    clients.stopSubmitting();
    const std::vector<std::string> broken = judge(clients);
    for (const std::string &line : broken)
        std::cout << "broken " << line << "\n";
    if (!broken.empty()) {
        m_deployment.keepFolder();
        std::cout << "logs " << m_deployment.folder() << "\n";
    }
    std::cout << clients.summary() << ", " << broken.size() << " broken\n";
    return broken.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::runtime_error &error) {
        std::cerr << "cell-soak: " << error.what() << "\n" << usage;
        return 2;
    }
    const auto seed = uint64_t(arguments["--seed"].asLong());
    return Soak(seed, seconds(arguments["--seconds"].asLong())).run(seed);
}
