#pragma once
// Operators of a simulated fleet: a change is sent again, at any node, until it has a clear answer;
// answers may be lost. What they are told is judged. docs/design.md section 15.
#include "world.hpp"

namespace dockrock::simulation {

struct Order {
    Call call;
    std::string item;  // what the document holds of it once it is taken
    Microseconds asked_at = 0;
    Microseconds answered_at = 0;
    int told = 0;          // 200 or 412, once an answer came through
    bool taken = false;    // some answer was 200, came it through or not
    bool refused = false;  // some answer was 412
    Sequence sequence;
    std::size_t sends = 0;
    std::size_t number_in_world = 0;
};

struct Operators {
    World& world;
    Random random;
    double answers_lost = 0.0;
    std::function<std::size_t()> pick;        // the node that is asked next
    std::function<void(Order const&)> taken;  // told once for each change that was acknowledged
    std::vector<std::unique_ptr<Order>> orders;
    std::map<std::string, std::string> winners;  // condition -> item of the change that was taken under it
    std::vector<Microseconds> waits;             // until a change was acknowledged

    auto change() -> std::size_t;         // an item is put behind the document, whatever it is
    auto race(std::size_t node) -> void;  // two changes, each under the number that the node knows
    auto all_answered() const -> bool;
    auto judge_document(std::string const& document) -> void;

   private:
    auto add(std::string operation, std::string if_match, std::string document) -> std::size_t;
    auto send(std::size_t number) -> void;
    auto send_later(std::size_t number, Microseconds pause) -> void;
    auto answered(std::size_t number, std::size_t node, CallDone const& done) -> void;
    auto take(Order& order, Sequence const& sequence) -> void;
    auto tell(std::size_t number, int status) -> void;
};

}  // namespace dockrock::simulation
