#pragma once
// What an assertion of the Boost libraries does. Elsewhere it ends the process, as one of ours does
// (base/invariants.hpp); while input from the network is parsed it throws, so that the input ends its own connection
// alone. docs/requests.md.

namespace dockrock {

// While one lives, a failed assertion of the libraries on this thread throws std::logic_error.
class InputScope {
   public:
    InputScope();
    InputScope(InputScope const&) = delete;
    ~InputScope();
};

}  // namespace dockrock
