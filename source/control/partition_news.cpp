#include "control/partition_news.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr auto past_kept = std::size_t{8};
constexpr auto asks_kept = std::size_t{8};
constexpr auto least_saved = std::size_t{64};  // bytes a difference must save to be sent instead of the whole document
constexpr auto past_bytes = std::size_t{4} << 20U;
}  // namespace

auto digest_of(std::string_view text) -> std::uint64_t { return text_digest(text); }

auto pass_by(PartitionNews& item, bool answered) -> void {
    if (item.ask_token == 0) return;
    item.past_asks.push_back({item.ask_token, item.asked_whom, item.asked_at, answered});
    if (item.past_asks.size() > asks_kept) item.past_asks.pop_front();
    item.ask_token = 0;
}

auto past_ask(PartitionNews& item, std::uint64_t token) -> PastAsk* {
    auto const found =
        std::find_if(item.past_asks.begin(), item.past_asks.end(), [&](auto const& ask) { return ask.token == token; });
    return found == item.past_asks.end() ? nullptr : &*found;
}

auto keep_as_base(PartitionNews& item) -> void {
    if (item.copy.document.empty()) return;
    item.past.emplace_back(item.copy.sequence, item.copy.document);
    auto const bytes = [&] {
        auto sum = std::size_t{0};
        for (auto const& [sequence, document] : item.past) sum += document.size();
        return sum;
    };
    while (item.past.size() > past_kept || (item.past.size() > 1 && bytes() > past_bytes)) item.past.pop_front();
}

auto make_update(PartitionNews const& item, NewsAsk const& ask) -> NewsCopy {
    auto const& fresh = item.copy.document;
    auto const whole = [&] { return NewsCopy{item.copy.sequence, digest_of(fresh), true, fresh, {}}; };
    auto const held =
        std::find_if(item.past.begin(), item.past.end(), [&](auto const& past) { return past.first == ask.have; });
    if (ask.whole || held == item.past.end()) return whole();
    auto edits = edits_between(held->second, fresh);
    if (size_of(edits) + least_saved >= fresh.size()) return whole();
    return {item.copy.sequence, digest_of(fresh), false, "", std::move(edits)};
}

auto copy_told(PartitionNews& item, NewsAsk const& ask) -> NewsCopy {
    auto const& told = item.told;
    if (!ask.whole && told && told->first == ask.have && told->second.sequence == item.copy.sequence)
        return told->second;
    auto made = make_update(item, ask);
    if (!made.whole) item.told = {ask.have, made};
    return made;
}

auto apply_news(PartitionNews const& item, NewsCopy const& news) -> std::optional<std::string> {
    auto made = news.whole ? std::optional(news.text) : apply_edits(item.copy.document, news.edits);
    if (!made || digest_of(*made) != news.digest) return std::nullopt;
    return made;
}

}  // namespace dockrock
