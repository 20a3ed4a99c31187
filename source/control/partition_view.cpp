#include "control/partition_view.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr auto max_past_documents = std::size_t{8};
constexpr auto max_past_requests = std::size_t{8};
constexpr auto least_saved = std::size_t{64};  // bytes a difference must save to be sent instead of the whole document
constexpr auto past_bytes = std::size_t{4} << 20U;
}  // namespace

auto digest_of(std::string_view text) -> std::uint64_t { return text_digest(text); }

auto retire_request(PartitionView& item, bool answered) -> void {
    if (item.ask_token == 0) return;
    item.past_requests.push_back({item.ask_token, item.asked_whom, item.asked_at, answered});
    if (item.past_requests.size() > max_past_requests) item.past_requests.pop_front();
    item.ask_token = 0;
}

auto find_past_request(PartitionView& item, std::uint64_t token) -> PastRequest* {
    auto const found = std::find_if(
        item.past_requests.begin(), item.past_requests.end(), [&](auto const& ask) { return ask.token == token; });
    return found == item.past_requests.end() ? nullptr : &*found;
}

auto keep_as_base(PartitionView& item) -> void {
    if (item.copy.document.empty()) return;
    item.past.emplace_back(item.copy.sequence, item.copy.document);
    auto const bytes = [&] {
        auto sum = std::size_t{0};
        for (auto const& [sequence, document] : item.past) sum += document.size();
        return sum;
    };
    while (item.past.size() > max_past_documents || (item.past.size() > 1 && bytes() > past_bytes))
        item.past.pop_front();
}

auto make_update(PartitionView const& item, UpdateRequest const& ask) -> DocumentUpdate {
    auto const& fresh = item.copy.document;
    auto const whole = [&] { return DocumentUpdate{item.copy.sequence, digest_of(fresh), true, fresh, {}}; };
    auto const held =
        std::find_if(item.past.begin(), item.past.end(), [&](auto const& past) { return past.first == ask.have; });
    if (ask.whole || held == item.past.end()) return whole();
    auto edits = edits_between(held->second, fresh);
    if (size_of(edits) + least_saved >= fresh.size()) return whole();
    return {item.copy.sequence, digest_of(fresh), false, "", std::move(edits)};
}

auto shared_update(PartitionView& item, UpdateRequest const& ask) -> DocumentUpdate {
    auto const& last_difference = item.last_difference;
    if (!ask.whole && last_difference && last_difference->first == ask.have &&
        last_difference->second.sequence == item.copy.sequence)
        return last_difference->second;
    auto made = make_update(item, ask);
    if (!made.whole) item.last_difference = {ask.have, made};
    return made;
}

auto apply_update(PartitionView const& item, DocumentUpdate const& update) -> std::optional<std::string> {
    auto made = update.whole ? std::optional(update.text) : apply_edits(item.copy.document, update.edits);
    if (!made || digest_of(*made) != update.digest) return std::nullopt;
    return made;
}

}  // namespace dockrock
