#pragma once
// Messages about when versions of weights were announced. docs/design.md section 11.4.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dockrock {

// Sent as an age, because nodes share no clock. The receiver subtracts it from the time of
// receipt, so the resulting time is never earlier than the one that the sender knows.
struct VersionAge {
    std::int64_t version = 0;
    std::int64_t age = 0;  // in microseconds, at the time of sending
};
using VersionAgeLists = std::map<std::string, std::vector<VersionAge>>;  // by model

struct VersionAges {
    bool asks = false;  // requests the receiver's ages in return
    VersionAgeLists named;
};

}  // namespace dockrock
