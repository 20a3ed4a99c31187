#pragma once
// Messages that go through relays in a large fleet. docs/design.md sections 9.8, 9.9.
#include <cstdint>
#include <string>
#include <vector>

namespace dockrock {

// load reports through relays (design 9.8); the bodies are in the format of ticket/load
struct LoadReport {  // a node to its relay
    std::uint64_t number = 0;
    std::uint64_t heard = 0;  // number of the relay's last sum that it holds; 0: none
    std::string body;
};
struct LoadShare {  // a relay to the other relays: the sum of its own nodes
    std::uint64_t number = 0;
    std::int64_t nodes = 0;
    std::string body;
    std::vector<std::string> names;   // of its nodes, not in every message
    std::vector<std::int64_t> rates;  // requests that each of them placed in the last second
};
struct LoadSum {  // a relay's answer to a node: the sum of all nodes
    std::uint64_t number = 0;
    std::uint64_t base = 0;     // number of the sum to which the body is a difference; 0: the body is whole
    std::uint64_t echo = 0;     // number of the receiver's own report that is included; 0: none
    std::int64_t echo_age = 0;  // age of that report, in milliseconds
    std::int64_t nodes = 0;
    std::string body;
};
// changes of prefix caches (design 9.9)
struct CacheBatch {  // cache events from one read of a replica or store
    std::string source;
    bool store = false;
    std::string life;        // the source's instance: changes when it restarts
    std::uint64_t from = 0;  // number of the first event
    std::uint64_t next = 0;  // number of the first event after these
    bool anew = false;       // earlier events of the source no longer hold
    std::vector<std::string> weights;
    std::string changes;  // in the format of the cache feed
};
struct FeedAsk {
    std::uint64_t feed = 0;      // the feed log that was read before
    std::uint64_t position = 0;  // up to which it was read
    bool own = false;            // only batches that the receiver read itself
};
struct FeedAnswer {
    std::uint64_t feed = 0;
    std::uint64_t position = 0;  // at which the next request continues
    std::vector<CacheBatch> batches;
};

}  // namespace dockrock
