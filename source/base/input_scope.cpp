#include "base/input_scope.hpp"

#include <boost/assert.hpp>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>

namespace dockrock {

namespace {

thread_local auto open_scopes = 0;

auto fail_assertion(std::string const& what) -> void {
    if (open_scopes > 0) throw std::logic_error(what);
    std::cerr << "dockrock ends: " << what << "\n";
    std::cerr.flush();
    std::abort();
}

}  // namespace

InputScope::InputScope() { ++open_scopes; }
InputScope::~InputScope() { --open_scopes; }

}  // namespace dockrock

// Boost calls these handlers where BOOST_ENABLE_ASSERT_HANDLER is defined.
namespace boost {

auto assertion_failed(char const* expression, char const* function, char const* file, long line) -> void {
    assertion_failed_msg(expression, "", function, file, line);
}

auto assertion_failed_msg(
    char const* expression, char const* message, char const* function, char const* file, long line) -> void {
    dockrock::fail_assertion(
        std::string("assertion of a library: ") + expression + " " + message + " in " + function + " at " + file + ":" +
        std::to_string(line));
}

}  // namespace boost
