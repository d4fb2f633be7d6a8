#include "usersplatform/soakclients.h"

#include "base/json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <future>

namespace cwl::usersplatform {

namespace {

constexpr size_t clientCount = 4;
constexpr int attempts = 6; // of one job or cancellation
constexpr uint32_t tasksPerStep = 2;
constexpr Duration clientDeadline = seconds(3);
constexpr Duration pauseBetweenJobs = milliseconds(120);
constexpr int cancelOneIn = 8;
constexpr size_t strangeKeyOneIn = 8; // calls
constexpr const char *strangeKey = "in-no-configuration";
constexpr Duration versionTime = seconds(6);          // until one is in force; 3 s are allowed
constexpr Duration versionTimeAfterHarm = seconds(3); // from when the store responds again

std::string jobBody(int steps)
{
    Json::Value body;
    body["spec"] = "text";
    for (int step = 0; step < steps; ++step) {
        Json::Value phase;
        phase["count"] = tasksPerStep;
        phase["cpu"] = 1000;
        phase["memMb"] = 100;
        phase["estRuntimeMs"] = 150;
        if (step > 0)
            phase["after"].append(step - 1);
        body["phases"].append(phase);
    }
    return writeJson(body);
}

} // namespace

SoakClients::SoakClients(Deployment &deployment, uint64_t seed)
    : m_deployment(deployment)
    , m_work(boost::asio::make_work_guard(m_context))
    , m_storeHarmedUntil(deployment.memberCount())
{
    for (size_t member = 0; member < deployment.memberCount(); ++member)
        m_clients.push_back(
                *http::Client::create(m_context, {.address = deployment.member(member).callers}));
    m_network = std::thread([this] { m_context.run(); });
    for (size_t client = 0; client < clientCount; ++client)
        m_threads.emplace_back([this, client, seed] { run(client, seed * clientCount + client); });
}

SoakClients::~SoakClients()
{
    m_isStopping = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_clients.clear();
    m_work.reset();
    m_network.join();
}

int SoakClients::call(const std::string &method, const std::string &id, const std::string &body,
                      size_t member, std::string *answer)
{
    http::Request request;
    request.method = method;
    request.path = "/draw/" + id;
    request.headers.set("Host", "draws.example");
    request.headers.set(
            "X-Deadline-Ms",
            absl::StrCat(std::chrono::duration_cast<milliseconds>(clientDeadline).count()));
    request.body = body;
    const size_t number = ++m_calls;
    const std::string key = number % strangeKeyOneIn == 0
            ? strangeKey
            : soakKey(soakCustomerOf(id), number % 2 == 0);
    request.headers.set("Authorization", "Token " + key);
    const TimePoint sentAt = BootClock::now();
    std::promise<absl::StatusOr<http::Response>> promise;
    m_clients[member]->send(
            std::move(request), BootClock::now() + clientDeadline,
            [&promise](absl::StatusOr<http::Response> answered) { promise.set_value(answered); });
    const absl::StatusOr<http::Response> response = promise.get_future().get();
    if (!response.ok())
        return 0;
    if (answer)
        *answer = response->body;
    const std::lock_guard lock(m_mutex);
    const bool isLate = m_withdrawn.contains(key) && sentAt - versionTime >= m_withdrawn[key]
            && sentAt - versionTimeAfterHarm >= m_storeHarmedUntil[member];
    m_lateCalls += isLate ? 1 : 0;
    if ((isLate || key == strangeKey) && response->status / 100 == 2)
        m_broken.push_back(absl::StrCat("served by member ", member, " with ", key));
    return response->status;
}

void SoakClients::setWithdrawn(const std::string &key, TimePoint from)
{
    const std::lock_guard lock(m_mutex);
    m_withdrawn[key] = from;
}

void SoakClients::noteStoreHarmed(size_t member, TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    m_storeHarmedUntil[member] = std::max(m_storeHarmedUntil[member], until);
}

void SoakClients::submit(const std::string &id, int steps, size_t member)
{
    {
        const std::lock_guard lock(m_mutex);
        m_jobs[id].steps = steps;
    }
    for (int attempt = 0; attempt < attempts && !m_isStopping; ++attempt) {
        const int status = call("POST", id, jobBody(steps),
                                (member + size_t(attempt)) % m_deployment.memberCount());
        const std::lock_guard lock(m_mutex);
        Job &job = m_jobs[id];
        job.isAccepted = status == 200;
        if (job.isAccepted)
            return;
        job.isUncertain = job.isUncertain || (status != 503 && status != 429 && status != 401);
    }
}

void SoakClients::cancel(const std::string &id, size_t member)
{
    for (int attempt = 0; attempt < attempts && !m_isStopping; ++attempt) {
        const int status =
                call("DELETE", id, {}, (member + size_t(attempt)) % m_deployment.memberCount());
        if (status != 200 && status != 410)
            continue;
        const std::lock_guard lock(m_mutex);
        m_jobs[id].isCancelled = true;
        if (status == 410)
            m_broken.push_back("cancelled job is not known: " + id);
        return;
    }
}

void SoakClients::look(const std::string &id, size_t member)
{
    std::string answer;
    const int status = call("GET", id, {}, member, &answer);
    const std::lock_guard lock(m_mutex);
    Job &job = m_jobs[id];
    if (status == 410)
        m_broken.push_back("accepted job is not known: " + id);
    for (const char *state : {"completed", "failed", "cancelled"}) {
        if (status != 200 || answer.find(state) == std::string::npos)
            continue;
        if (!job.end.empty() && job.end != state)
            m_broken.push_back(absl::StrCat("ended twice: ", id, " ", job.end, " ", state));
        job.end = state;
        // No task of these jobs fails by itself.
        if (job.end == "failed" || (job.end == "cancelled" && !job.isCancelled && !job.isUncertain))
            m_broken.push_back(absl::StrCat("shown as ", state, " without cause: ", id));
    }
}

std::string SoakClients::anyAccepted(std::mt19937_64 &random, bool isOpen) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && (!isOpen || job.end.empty()))
            ids.push_back(id);
    }
    return ids.empty() ? std::string() : ids[random() % ids.size()];
}

void SoakClients::run(size_t client, uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int number = 0; !m_isStopping; ++number) {
        const size_t member = random() % m_deployment.memberCount();
        if (m_isSubmitting) {
            const std::string id = absl::StrFormat("%08x%08x", client + 1, number);
            submit(id, 1 + int(random() % 3), member);
            const std::lock_guard lock(m_mutex);
            // What may be asked to end is not judged by how it ends.
            if (m_jobs[id].isAccepted && random() % cancelOneIn == 0)
                m_jobs[id].isUncertain = true;
        }
        const std::string cancelled = anyAccepted(random, true);
        bool isChosen = false;
        if (!cancelled.empty() && m_isSubmitting) {
            const std::lock_guard lock(m_mutex);
            isChosen = m_jobs[cancelled].isUncertain && !m_jobs[cancelled].isCancelled;
        }
        if (isChosen && random() % 2 == 0)
            cancel(cancelled, member);
        const std::string looked = anyAccepted(random, random() % 4 != 0);
        if (!looked.empty())
            look(looked, random() % m_deployment.memberCount());
        if (m_isSubmitting)
            std::this_thread::sleep_for(pauseBetweenJobs);
    }
}

// Section: results

std::vector<std::string> SoakClients::unfinished() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && job.end.empty())
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> SoakClients::broken() const
{
    const std::lock_guard lock(m_mutex);
    return m_broken;
}

std::vector<std::string> SoakClients::refused() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (!job.isAccepted && !job.isUncertain)
            ids.push_back(id);
    }
    return ids;
}

std::map<std::string, std::vector<std::string>> SoakClients::shownCompleted() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::vector<std::string>> completed;
    for (const auto &[id, job] : m_jobs) {
        if (job.end != "completed")
            continue;
        std::vector<std::string> &tasks = completed[id];
        for (int step = 0; step < job.steps; ++step) {
            for (uint32_t index = 0; index < tasksPerStep; ++index)
                tasks.push_back(absl::StrCat(id, ".0.", step, ".", index));
        }
    }
    return completed;
}

bool SoakClients::isCancelled(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto job = m_jobs.find(id);
    return job != m_jobs.end() && job->second.isCancelled;
}

std::string SoakClients::summary() const
{
    const std::lock_guard lock(m_mutex);
    size_t accepted = 0;
    size_t cancelled = 0;
    for (const auto &[id, job] : m_jobs) {
        accepted += job.isAccepted ? 1 : 0;
        cancelled += job.isCancelled ? 1 : 0;
    }
    return absl::StrCat(m_jobs.size(), " jobs, ", accepted, " accepted, ", cancelled,
                        " cancelled, ", m_lateCalls, " calls with withdrawn keys");
}

} // namespace cwl::usersplatform
