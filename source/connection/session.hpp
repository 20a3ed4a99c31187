#pragma once
// One client connection and its inference requests. docs/design.md sections 9.1, 10.
#include "connection/http_message.hpp"
#include "process/node.hpp"
#include "ticket/request_lifecycle.hpp"

namespace dockrock {

using HttpResponse = http::response<http::string_body>;

using Headers = std::vector<std::pair<std::string, std::string>>;
inline auto retry_header(std::string seconds) -> Headers {
    return Headers(1, std::pair(std::string("Retry-After"), std::move(seconds)));
}

struct Session {
    Node& node;
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::uint64_t request_number = 0;  // sent in every response, for correlation with the logs

    auto serve() -> awaitable<void>;
    // Sends a response. The handlers below return whether the connection can be used further, as this does.
    auto answer(HttpRequest const& request, int status, json::object body, Headers headers = Headers())
        -> awaitable<bool>;
    auto answer_text(
        HttpRequest const& request, int status, std::string body, std::string type, Headers headers = Headers())
        -> awaitable<bool>;
    auto handle_control(HttpRequest const& request) -> awaitable<bool>;
    auto handle_inference(HttpRequest const& request) -> awaitable<bool>;
    auto forward_application(HttpRequest const& request, Verdict verdict) -> awaitable<bool>;
    auto follow(HttpRequest const& request, RequestLifecycle& lifecycle) -> awaitable<bool>;
    auto run_inference(HttpRequest const& request, Verdict verdict, Sequence sequence) -> awaitable<bool>;
    auto shed(HttpRequest const& request, std::string reason, std::int64_t retry_after) -> awaitable<bool>;
    auto unknown(HttpRequest const& request, std::string reason) -> awaitable<bool>;
    auto interpret_now(HttpRequest const& request) -> awaitable<std::pair<Verdict, SnapshotPointer>>;
    // Waits until the scheduler has placed or shed the request; false if the caller disconnected first.
    auto wait_for_slot(std::shared_ptr<Slot> slot) -> awaitable<bool>;
    auto wait_for_placement(RequestLifecycle& lifecycle) -> awaitable<LifecycleStep>;
    auto claim(RequestLifecycle& lifecycle) -> awaitable<LifecycleStep>;
    auto send_try(HttpRequest const& request, RequestLifecycle& lifecycle, bool& usable) -> awaitable<LifecycleStep>;
    auto log_inference(InferenceRequest const& inference, char const* event, std::string what, std::string replica)
        -> void;
};

struct TryResult {
    TryEnd end = TryEnd::unknown_before;
    std::string reason;
    bool usable = false;     // the caller's connection can be used further
    bool held_back = false;  // stopped by the final checks before sending: no try was made
};

// Sends one try to its replica and streams the response pieces to the caller (design 10).
auto run_try(Session& session, RequestLifecycle const& lifecycle, bool keep_alive) -> awaitable<TryResult>;

}  // namespace dockrock
