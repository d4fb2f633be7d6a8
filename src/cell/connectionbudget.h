// How a member divides the connections that its process may open, and its
// memory.

#pragma once

#include <cstddef>
#include <cstdint>

namespace cwl::cell {

// The shares leave the rest to other members, the store and the advice service. A member that owns
// the cell opens connections in proportion to the number of workers; without these bounds it runs
// out of descriptors and then can neither accept nor open any.
struct ConnectionBudget
{
    size_t polls = SIZE_MAX;  // to workers, each held by one poll that waits for an event
    size_t orders = SIZE_MAX; // to workers, shared by orders and by polls that do not wait
    size_t callers = 2048;    // accepted from clients
};

// `maxDescriptors` is the limit of the process; 0: not known, nothing is bounded.
ConnectionBudget connectionBudget(int64_t maxDescriptors);

// Memory that the connections of clients may hold: a quarter of the machine's
// `memoryMb`; 0: not known.
size_t callersMemoryBytes(int64_t memoryMb);

} // namespace cwl::cell
