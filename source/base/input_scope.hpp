#pragma once
// Handling of failed assertions inside the Boost libraries. By default one aborts the process; while network input is
// parsed it throws instead, so that bad input ends only its own connection. docs/requests.md.

namespace dockrock {

// While an instance exists, a failed library assertion on its thread throws std::logic_error.
class InputScope {
   public:
    InputScope();
    InputScope(InputScope const&) = delete;
    ~InputScope();
};

}  // namespace dockrock
