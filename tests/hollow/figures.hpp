#pragma once
// Figures as lines of JSON, and what is read from them: medians and spread
// over seeds, slopes over sizes, a table and a drawing. docs/CAPACITY.md.
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace dockrock::hollow {

// One measured run of one size: names of figures and their values.
struct Run {
    std::string what;  // "idle", "placement" ...
    std::string role;  // "edge", "core", "leader", or empty
    std::size_t nodes = 0;
    std::size_t replicas = 0;
    std::uint64_t seed = 1;
    std::map<std::string, double> figures;
};

auto write_run(std::ostream& into, Run const& run) -> void;
auto read_runs(std::istream& from) -> std::vector<Run>;

struct Spread {
    double median = 0.0;
    double least = 0.0;
    double most = 0.0;
};
auto spread_of(std::vector<double> values) -> Spread;

// value = factor * nodes ^ exponent, by least squares over the logarithms.
struct Slope {
    double factor = 0.0;
    double exponent = 0.0;
    auto at(double nodes) const -> double;
};
auto slope_of(std::vector<std::pair<double, double>> const& points) -> Slope;

auto write_table(std::ostream& into, std::vector<Run> const& runs, double target) -> void;
// One line for each role over the sizes, both axes in decades.
auto write_drawing(std::ostream& into, std::vector<Run> const& runs, std::string const& what, std::string const& figure)
    -> void;

}  // namespace dockrock::hollow
