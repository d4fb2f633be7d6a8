// cwl-scheduler: jobs, placement, worker leases, settings and the operators' API.

#include "node/node.h"
#include "node/program.h"
#include "scheduler/scheduler.h"

namespace {

using cwl::ExitCode;

const cwl::node::ProgramInfo program = {"cwl-scheduler",
                                        "Places the jobs of one cell and serves its operators."};

ExitCode serve(const cwl::settings::ProcessSettings &settings)
{
    auto node = cwl::node::Node::create(settings, program.name);
    if (!node.ok())
        return cwl::node::reportFailure(program, node.status());
    auto scheduler = cwl::scheduler::Scheduler::create(settings, **node);
    if (!scheduler.ok())
        return cwl::node::reportFailure(program, scheduler.status());
    return (*node)->run();
}

} // namespace

int main(int argc, char **argv)
{
    return static_cast<int>(cwl::node::runProgram(program, argc, argv, serve));
}
