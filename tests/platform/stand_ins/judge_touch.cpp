// Which nodes the rules bound in time hold for, and when.
#include "judge.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto ever = -(Milliseconds{1} << 60U);

auto overlaps(std::vector<NodeSpan> const& spans, std::string const& node, Milliseconds from, Milliseconds to) -> bool {
    return std::any_of(spans.begin(), spans.end(), [&](NodeSpan const& span) {
        return (span.node == "*" || span.node == node) && span.from <= to && span.to >= from;
    });
}
}  // namespace

auto Court::calm(Milliseconds from, Milliseconds to) const -> bool {
    return std::none_of(record.troubles.begin(), record.troubles.end(), [&](Span const& trouble) {
        return trouble.from <= to && trouble.to + bounds.contact >= from;
    });
}

auto Court::in_touch(std::string const& node, Milliseconds from, Milliseconds to) const -> bool {
    return calm(from, to) && !overlaps(record.away, node, from, to);
}

// An unsettled core alone makes the bound of a configuration longer.
auto Court::apply_bound(std::string const& node, Milliseconds from, Milliseconds to) const
    -> std::optional<Milliseconds> {
    if (!calm(from, to) || overlaps(record.apart, node, from, to)) return std::nullopt;
    if (!overlaps(record.away, node, from, to)) return bounds.apply;
    return bounds.apply + bounds.skew;
}

auto Court::smooth_since(Milliseconds at) const -> std::optional<Milliseconds> {
    auto since = ever;
    auto const pass = [&](Milliseconds from, Milliseconds to) {
        if (to < at) since = std::max(since, to);
        return from > at || to < at;
    };
    auto smooth = true;
    for (auto const& trouble : record.troubles) smooth &= pass(trouble.from, trouble.to + bounds.contact);
    for (auto const& span : record.rough) smooth &= pass(span.from, span.to);
    return smooth ? std::optional(since) : std::nullopt;
}

}  // namespace dockrock::platform_stand_in
