#include "supervisor/scheduler.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace cwl::supervisor {

namespace {

class AsioScheduler : public Scheduler
{
public:
    explicit AsioScheduler(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    TimePoint now() const override { return BootClock::now(); }

    void post(std::function<void()> step) override
    {
        boost::asio::post(m_context, std::move(step));
    }

    void postAt(TimePoint instant, std::function<void()> step) override
    {
        using Timer = boost::asio::basic_waitable_timer<BootClock>;
        const auto timer = std::make_shared<Timer>(m_context, instant);
        timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
            if (!error)
                step();
        });
    }

private:
    boost::asio::io_context &m_context;
};

} // namespace

std::shared_ptr<Scheduler> createScheduler(boost::asio::io_context &context)
{
    return std::make_shared<AsioScheduler>(context);
}

} // namespace cwl::supervisor
