#include "figures.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <istream>
#include <ostream>

namespace dockrock::hollow {

namespace json = boost::json;

namespace {

auto rounded(double value) -> std::string {
    auto text = std::array<char, 32>{};
    auto const size = std::abs(value);
    std::snprintf(
        text.data(), text.size(),
        size >= 100.0 || value == 0.0 ? "%.0f"
            : size >= 1.0             ? "%.1f"
                                      : "%.3f",
        value);
    return text.data();
}

// (what, role, figure) -> nodes -> values of all seeds
using Points = std::map<std::size_t, std::vector<double>>;
auto gather(std::vector<Run> const& runs) -> std::map<std::array<std::string, 3>, Points> {
    std::map<std::array<std::string, 3>, Points> gathered;
    for (auto const& run : runs)
        for (auto const& [name, value] : run.figures) gathered[{run.what, run.role, name}][run.nodes].push_back(value);
    return gathered;
}

}  // namespace

auto write_run(std::ostream& into, Run const& run) -> void {
    json::object line{
        {"what", run.what}, {"role", run.role}, {"nodes", run.nodes}, {"replicas", run.replicas}, {"seed", run.seed}};
    json::object figures;
    for (auto const& [name, value] : run.figures) figures[name] = value;
    line["figures"] = std::move(figures);
    into << json::serialize(line) << std::endl;
}

auto read_runs(std::istream& from) -> std::vector<Run> {
    std::vector<Run> runs;
    for (std::string line; std::getline(from, line);) {
        boost::system::error_code failure;
        auto const parsed = json::parse(line, failure);
        if (failure || !parsed.is_object()) continue;
        auto const& object = parsed.as_object();
        Run run;
        run.what = std::string(object.at("what").as_string());
        run.role = std::string(object.at("role").as_string());
        run.nodes = object.at("nodes").to_number<std::size_t>();
        run.replicas = object.at("replicas").to_number<std::size_t>();
        run.seed = object.at("seed").to_number<std::uint64_t>();
        for (auto const& item : object.at("figures").as_object())
            run.figures[std::string(item.key())] = item.value().to_number<double>();
        runs.push_back(std::move(run));
    }
    return runs;
}

auto spread_of(std::vector<double> values) -> Spread {
    if (values.empty()) return {};
    std::sort(values.begin(), values.end());
    return {values[values.size() / 2], values.front(), values.back()};
}

auto Slope::at(double nodes) const -> double { return factor * std::pow(nodes, exponent); }

auto slope_of(std::vector<std::pair<double, double>> const& points) -> Slope {
    auto count = 0.0, x_sum = 0.0, y_sum = 0.0, xx_sum = 0.0, xy_sum = 0.0;
    for (auto const& [x, y] : points) {
        if (x <= 0.0 || y <= 0.0) continue;
        count += 1.0;
        x_sum += std::log(x);
        y_sum += std::log(y);
        xx_sum += std::log(x) * std::log(x);
        xy_sum += std::log(x) * std::log(y);
    }
    auto const under = count * xx_sum - x_sum * x_sum;
    if (count < 2.0 || under <= 1e-12) return {count > 0.0 ? std::exp(y_sum / count) : 0.0, 0.0};
    auto const exponent = (count * xy_sum - x_sum * y_sum) / under;
    return {std::exp((y_sum - exponent * x_sum) / count), exponent};
}

auto write_table(std::ostream& into, std::vector<Run> const& runs, double target) -> void {
    std::map<std::string, std::vector<std::size_t>> sizes;  // each kind of run has its own
    for (auto const& run : runs) {
        auto& known = sizes[run.what];
        if (std::find(known.begin(), known.end(), run.nodes) == known.end()) known.push_back(run.nodes);
    }
    std::string last;
    for (auto const& [key, points] : gather(runs)) {
        auto const& [what, role, figure] = key;
        auto& columns = sizes[what];
        std::sort(columns.begin(), columns.end());
        if (what != last) {
            into << "\n" << what << ": median (least to most over seeds)\n\n| role | figure |";
            for (auto nodes : columns) into << " " << nodes << " |";
            into << " grows as n to the | at " << target << " |\n|---|---|";
            for (auto count = columns.size() + 2; count > 0; --count) into << "---|";
            into << "\n";
        }
        last = what;
        into << "| " << role << " | " << figure << " |";
        std::vector<std::pair<double, double>> line;
        for (auto nodes : columns) {
            auto const found = points.find(nodes);
            if (found == points.end()) {
                into << " |";
                continue;
            }
            auto const spread = spread_of(found->second);
            line.emplace_back(static_cast<double>(nodes), spread.median);
            into << " " << rounded(spread.median) << " (" << rounded(spread.least) << " to " << rounded(spread.most)
                 << ") |";
        }
        auto const slope = slope_of(line);
        into << " " << rounded(slope.exponent) << " | " << rounded(slope.at(target)) << " |\n";
    }
}

auto write_drawing(std::ostream& into, std::vector<Run> const& runs, std::string const& what, std::string const& figure)
    -> void {
    constexpr auto width = 640.0, height = 400.0, margin = 60.0;
    constexpr auto colours = std::to_array<char const*>({"#1f6f8b", "#b5541c", "#4a7a2c", "#7a2c6b"});
    std::map<std::string, std::vector<std::pair<double, double>>> lines;
    for (auto const& [key, points] : gather(runs))
        if (key[0] == what && key[2] == figure)
            for (auto const& [nodes, values] : points)
                if (auto const median = spread_of(values).median; median > 0.0)
                    lines[key[1]].emplace_back(std::log10(static_cast<double>(nodes)), std::log10(median));
    auto low = 1e9, high = -1e9, left = 1e9, right = -1e9;
    for (auto const& [role, points] : lines)
        for (auto const& [x, y] : points) {
            left = std::min(left, x);
            right = std::max(right, x);
            low = std::min(low, std::floor(y));
            high = std::max(high, std::ceil(y));
        }
    auto const across = [&](double x) {
        return margin + (x - left) / std::max(0.01, right - left) * (width - 2 * margin);
    };
    auto const up = [&](double y) {
        return height - margin - (y - low) / std::max(0.01, high - low) * (height - 2 * margin);
    };
    into << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
         << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    into << "<text x=\"" << margin << "\" y=\"24\" font-size=\"15\">" << what << ": " << figure << " by nodes</text>\n";
    for (auto decade = low; decade <= high; decade += 1.0)
        into << "<line x1=\"" << margin << "\" x2=\"" << width - margin << "\" y1=\"" << up(decade) << "\" y2=\""
             << up(decade) << "\" stroke=\"#ddd\"/><text x=\"8\" y=\"" << up(decade) + 4 << "\">1e" << decade
             << "</text>\n";
    auto colour = std::size_t{0};
    for (auto const& [role, points] : lines) {
        auto const* paint = colours[colour % colours.size()];
        into << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << paint << "\" points=\"";
        for (auto const& [x, y] : points) into << across(x) << "," << up(y) << " ";
        into << "\"/>\n";
        for (auto const& [x, y] : points)
            into << "<circle r=\"3\" fill=\"" << paint << "\" cx=\"" << across(x) << "\" cy=\"" << up(y)
                 << "\"/><text x=\"" << across(x) - 8 << "\" y=\"" << height - margin + 18 << "\">"
                 << std::lround(std::pow(10.0, x)) << "</text>\n";
        into << "<text x=\"" << width - margin + 4 << "\" y=\"" << up(points.back().second) + 4 << "\" fill=\"" << paint
             << "\">" << role << "</text>\n";
        ++colour;
    }
    into << "</svg>\n";
}

}  // namespace dockrock::hollow
