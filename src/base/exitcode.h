// Exit codes that all programs share.

#pragma once

namespace cwl {

enum class ExitCode : int {
    Success = 0,
    Failure = 1,          // a request was refused or failed
    Usage = 2,            // unknown flag or argument
    InvalidSettings = 3,  // settings file missing, malformed or impossible
    AddressInUse = 4,     // a port could not be opened
    SupervisorFailed = 5, // a child of the supervisor tree kept failing
};

} // namespace cwl
