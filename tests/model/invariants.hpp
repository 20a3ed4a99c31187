#pragma once
// What must hold in every state of a modelled world. docs/consensus.md.
#include "world.hpp"

namespace dockrock::model {

// Puts what is broken into the world's violations, and notes what was seen.
auto check(World& world) -> void;

}  // namespace dockrock::model
