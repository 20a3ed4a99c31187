#include "control/partition_news.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr auto past_kept = std::size_t{8};
constexpr auto past_bytes = std::size_t{4} << 20U;
}  // namespace

auto digest_of(std::string_view text) -> std::uint64_t { return hash_text(text) >> 1U; }

auto remember(PartitionNews& item) -> void {
    if (item.copy.document.empty()) return;
    item.past.emplace_back(item.copy.sequence, item.copy.document);
    auto const bytes = [&] {
        auto sum = std::size_t{0};
        for (auto const& [sequence, document] : item.past) sum += document.size();
        return sum;
    };
    while (item.past.size() > past_kept || (item.past.size() > 1 && bytes() > past_bytes)) item.past.pop_front();
}

auto copy_for(PartitionNews const& item, NewsAsk const& ask) -> NewsCopy {
    auto const& fresh = item.copy.document;
    auto whole = NewsCopy{item.copy.sequence, digest_of(fresh), true, 0, 0, fresh};
    auto const held =
        std::find_if(item.past.begin(), item.past.end(), [&](auto const& past) { return past.first == ask.have; });
    if (ask.whole || held == item.past.end()) return whole;
    auto const& old = held->second;
    auto const least = std::min(old.size(), fresh.size());
    auto const front = static_cast<std::size_t>(
        std::mismatch(old.begin(), old.begin() + static_cast<std::ptrdiff_t>(least), fresh.begin()).first -
        old.begin());
    auto back = std::size_t{0};
    while (back < least - front && old[old.size() - 1 - back] == fresh[fresh.size() - 1 - back]) ++back;
    auto middle = fresh.substr(front, fresh.size() - front - back);
    if (middle.size() + 64 >= fresh.size()) return whole;
    return {whole.sequence, whole.digest, false, front, back, std::move(middle)};
}

auto apply_news(PartitionNews const& item, NewsCopy const& news) -> std::optional<std::string> {
    auto made = news.text;
    if (!news.whole) {
        auto const& held = item.copy.document;
        if (news.front > held.size() || news.back > held.size() - news.front) return std::nullopt;
        made = held.substr(0, news.front) + news.text + held.substr(held.size() - news.back);
    }
    if (digest_of(made) != news.digest) return std::nullopt;
    return made;
}

}  // namespace dockrock
