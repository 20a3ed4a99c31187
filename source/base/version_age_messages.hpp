#pragma once
// What nodes tell each other of when versions of weights were named. docs/design.md section 11.4.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dockrock {

// An age needs no clock in common: the receiver counts it from when the message came,
// so what it makes of it is never earlier than what the sender knows.
struct VersionAge {
    std::int64_t version = 0;
    std::int64_t age = 0;  // in microseconds, when it was sent
};
using VersionAgeLists = std::map<std::string, std::vector<VersionAge>>;  // by model

struct VersionAges {
    bool asks = false;  // for the receiver's own account
    VersionAgeLists named;
};

}  // namespace dockrock
