#pragma once
// A record made by hand of a short day on which nothing went wrong.
#include "platform/stand_ins/judge.hpp"

namespace dockrock::platform_stand_in::testing {

inline auto document(std::int64_t version, std::string const& service, std::string const& key) -> json::object {
    auto const text = R"({"ver":)" + std::to_string(version) + R"(,"routes":[
        {"name":"r","host":"h.example","pfx":"/a/","type":"stream","resume":true,"svc":")" +
        service + R"("},
        {"name":"once","host":"h.example","pfx":"/once/","type":"mutating","svc":")" +
        service + R"("}],
        "svcs":[{"name":"s1"},{"name":"s2"}],
        "orgs":[{"name":"t1","apiKeys":[")" +
        key + R"("],"isolated":true},{"name":"t2","apiKeys":["k2"]}]})";
    return *read_object(text);
}
inline auto acknowledged(std::int64_t version, std::string const& service, std::string const& key, Milliseconds at)
    -> Change {
    auto change = Change();
    change.document = document(version, service, key);
    change.configuration = read_configuration(change.document);
    change.base = version - 1;
    change.sent = at - 10;
    change.answered = at;
    change.outcome = Outcome::acknowledged;
    return change;
}
inline auto stream_body(std::string const& run, std::int64_t first, std::int64_t to, std::int64_t last) -> std::string {
    auto text = std::string();
    for (auto number = first; number <= to; ++number) text += event_text({number, event_data(run, number, last), 0});
    return text;
}

struct Story {  // one served stream and one served single request, with nothing wrong
    Record record;
    Bounds bounds;
    Story() {
        record.changes.push_back(acknowledged(1, "s1", "k1", 0));
        record.sent.push_back({"q1", 1000, "n1", "POST", "h.example", "/a/x", "k1", 7, true, true, true, 0});
        record.sent.push_back({"q2", 1000, "n1", "POST", "h.example", "/once/x", "k1", 7, false, false, false, 0});
        for (auto const* name : {"q1", "q2"}) {
            auto const stream = std::string(name) == "q1";
            auto run = Run{name, stream ? "i1-1" : "i1-2", "i1", "s1", 1010, "POST", "h.example"};
            run.target = stream ? "/a/x" : "/once/x";
            run.tenant = "t1";
            run.model = "m";
            run.body = 7;
            run.version = 1;
            run.used.push_back({"t1", 1});
            record.runs.push_back(run);
            record.arrivals.push_back({name, "i1", "s1", 1010, 200});
        }
        record.answers.push_back(
            {"q1", 1100, 200, "q1", seal_of_stream("i1-1", 1, 4), "", stream_body("i1-1", 1, 4, 4)});
        record.answers.push_back({"q2", 1100, 200, "q2", seal_of_body("i1-2", 200, "body"), "", "body"});
        for (auto& answer : record.answers) answer.complete = true;
        record.orders.push_back({"i1", "n1", 4, 202, 900});
        record.leaving.push_back({"i1", 900});
        record.versions.push_back({"m", 1, -20'000});
        record.sent.push_back({"q0", 1000, "n1", "POST", "h.example", "/once/x", "k1"});
        record.answers.push_back({"q0", 1005, 503});
        record.reads.push_back({2000, document(1, "s1", "k1")});
    }
    auto stream() -> Answer& { return record.answers[0]; }
    auto single() -> Answer& { return record.answers[1]; }
    auto broken() const -> std::set<std::string> {
        auto names = std::set<std::string>();
        auto const verdicts = judge(record, bounds);
        for (auto place = std::size_t{0}; place < verdicts.size(); ++place)
            if (!verdicts[place].broken.empty()) names.emplace(rule_names[place]);
        return names;
    }
};

}  // namespace dockrock::platform_stand_in::testing
