// Every part of an answer by the grammar of HTTP: status line, fields, framing, bodies, a second head in one answer.
// docs/requests.md section 3.
#include "broken_answer_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("the statuses at the bounds of the grammar are answers") {
    auto const failed = seen_after(head_of("599", "Content-Length: 19\r\n") + body_mark);
    CHECK(failed.status == 599);
    CHECK(failed.bytes.ends_with(body_mark));
    auto const served = seen_after(head_of("100", "") + head_of("200", "Content-Length: 19\r\n") + body_mark);
    CHECK(served.status == 200);
    CHECK(served.bytes.ends_with(body_mark));
}

TEST_CASE("a body where the grammar has none reaches nobody, and its connection is not used again") {
    for (auto const* status : {"204", "304"}) {
        auto const seen = seen_after(head_of(status, "Content-Length: 19\r\n") + body_mark);
        INFO(seen.bytes);
        CHECK(seen.status == std::stoi(status));
        CHECK(seen.bytes.ends_with("\r\n\r\n"));
        CHECK(seen.pooled == 0);
    }
}
