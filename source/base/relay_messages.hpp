#pragma once
// What travels through relays in a large fleet. docs/design.md sections 9.8, 9.9.
#include <cstdint>
#include <string>
#include <vector>

namespace dockrock {

// load through relays (design 9.8); the bodies are texts of ticket/load
struct LoadReport {  // a node to its relay
    std::uint64_t number = 0;
    std::uint64_t heard = 0;  // the sum that it holds of this relay; 0: none
    std::string body;
};
struct LoadShare {  // a relay to the other relays: its own nodes together
    std::uint64_t number = 0;
    std::int64_t nodes = 0;
    std::string body;
    std::vector<std::string> names;   // of its nodes, now and then,
    std::vector<std::int64_t> rates;  // and what each placed in the last second
};
struct LoadSum {  // a relay's answer to a node: all nodes together
    std::uint64_t number = 0;
    std::uint64_t base = 0;     // the sum that the body is a difference from; 0: whole
    std::uint64_t echo = 0;     // the number of this node's own word that is in it; 0: none
    std::int64_t echo_age = 0;  // how old that word was, in milliseconds
    std::int64_t nodes = 0;
    std::string body;
};
// changes of kept prompts (design 9.9)
struct CacheBatch {  // what a replica or store told when it was read once
    std::string source;
    bool store = false;
    std::string life;  // changes when the source restarts
    std::uint64_t from = 0;
    std::uint64_t next = 0;  // number of the first event after these
    bool anew = false;       // what it told before no longer holds
    std::vector<std::string> weights;
    std::string changes;  // text of cache_feed
};
struct FeedAsk {
    std::uint64_t feed = 0;  // the log read before, and how far
    std::uint64_t position = 0;
    bool own = false;  // only what the asked node read itself
};
struct FeedAnswer {
    std::uint64_t feed = 0;
    std::uint64_t position = 0;  // where the next question goes on
    std::vector<CacheBatch> batches;
};

}  // namespace dockrock
