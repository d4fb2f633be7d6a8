// cwl-entry: callers' HTTP, request queues, routing to endpoints.

#include "entry/callersapi.h"
#include "entry/entry.h"
#include "node/node.h"
#include "node/program.h"

namespace {

using cwl::ExitCode;

const cwl::node::ProgramInfo program = {"cwl-entry", "Serves callers' requests of one cell."};

ExitCode serve(const cwl::settings::ProcessSettings &settings)
{
    // A request that no handler has seen certainly did not run.
    cwl::node::NodeOptions options;
    options.refusalHeaders.set(cwl::entry::outcomeHeader,
                               outcomeName(cwl::requests::OutcomeKind::NotRun));
    auto node = cwl::node::Node::create(settings, program.name, options);
    if (!node.ok())
        return cwl::node::reportFailure(program, node.status());
    auto entry = cwl::entry::Entry::create(settings, **node);
    if (!entry.ok())
        return cwl::node::reportFailure(program, entry.status());
    return (*node)->run();
}

} // namespace

int main(int argc, char **argv)
{
    return static_cast<int>(cwl::node::runProgram(program, argc, argv, serve));
}
