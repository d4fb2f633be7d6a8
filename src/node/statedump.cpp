#include "node/statedump.h"

#include "base/json.h"
#include "node/node.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <mutex>

namespace cwl::node {

namespace {

std::string problem(const std::string &text)
{
    Json::Value value;
    value["error"] = text;
    return writeJson(value);
}

std::string sectionText(const std::function<Json::Value()> &section)
{
    std::string text;
    try {
        text = writeJson(section());
    } catch (const std::exception &exception) {
        return problem(absl::StrCat("the section failed: ", exception.what()));
    }
    if (text.size() > maxSectionBytes)
        return problem(absl::StrCat("the section has ", text.size(), " bytes, more than ",
                                    maxSectionBytes));
    return text;
}

} // namespace

// One dump under way. Kept by the posted steps and the timer.
struct StateDump::Collection
{
    using Timer = boost::asio::basic_waitable_timer<BootClock>;

    Collection(boost::asio::io_context &traffic, std::shared_ptr<std::atomic<int>> underWay)
        : timer(traffic)
        , counter(std::move(underWay))
    {
    }
    Collection(const Collection &) = delete;
    Collection &operator=(const Collection &) = delete;
    ~Collection() { --*counter; }

    void answer(size_t index, std::string text)
    {
        {
            const std::lock_guard lock(mutex);
            texts[index].second = std::move(text);
            --missing;
            if (missing > 0)
                return;
        }
        finish();
    }

    // Called at the deadline or when nothing is missing, whichever comes first.
    void finish()
    {
        Texts result;
        std::function<void(Texts)> callback;
        {
            const std::lock_guard lock(mutex);
            callback = std::exchange(done, nullptr);
            result = texts;
        }
        if (!callback)
            return;
        timer.cancel();
        size_t total = 0;
        for (auto &[name, text] : result) {
            if (text.empty())
                text = problem("no answer from the control thread within 1 s");
            if (total + text.size() > maxStateBytes)
                text = problem("left out: the dump has reached its size limit");
            total += text.size();
        }
        callback(std::move(result));
    }

    Timer timer;
    std::shared_ptr<std::atomic<int>> counter;
    std::mutex mutex; // guards the members below
    Texts texts;      // empty text: no answer yet
    size_t missing = 0;
    std::function<void(Texts)> done;
};

StateDump::StateDump(boost::asio::io_context &control, boost::asio::io_context &traffic)
    : m_control(control)
    , m_traffic(traffic)
{
}

void StateDump::add(const std::string &name, std::function<Json::Value()> section)
{
    m_sections.emplace_back(name, std::move(section));
}

bool StateDump::collect(std::function<void(Texts)> done)
{
    if (++*m_underWay > maxDumpsUnderWay) {
        --*m_underWay;
        return false;
    }
    const auto collection = std::make_shared<Collection>(m_traffic, m_underWay);
    collection->missing = m_sections.size();
    collection->done = std::move(done);
    for (const auto &[name, section] : m_sections)
        collection->texts.emplace_back(name, std::string());
    collection->timer.expires_at(BootClock::now() + stateDeadline);
    collection->timer.async_wait([collection](boost::system::error_code error) {
        if (!error)
            collection->finish();
    });
    // One step for each section, so that other work of the control thread runs in between.
    for (size_t index = 0; index < m_sections.size(); ++index) {
        boost::asio::post(m_control, [collection, index, section = m_sections[index].second] {
            collection->answer(index, sectionText(section));
        });
    }
    return true;
}

std::string StateDump::joined(const Texts &texts)
{
    std::string body = "{";
    for (const auto &[name, text] : texts)
        absl::StrAppend(&body, body.size() > 1 ? "," : "", writeJson(Json::Value(name)), ":", text);
    return body + "}\n";
}

} // namespace cwl::node
