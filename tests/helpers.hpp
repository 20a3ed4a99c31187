#pragma once
#include <catch2/catch.hpp>

#include "sequence/rules.hpp"
#include "ticket/scheduler.hpp"
#include "ticket/interpreter.hpp"

namespace dockrock::testing {

inline auto const tree_text = std::string(R"({
 "models":[{"name":"large","weights":"w1"},{"name":"small","weights":"s1"}],
 "kinds":[{"name":"review","deadline_milliseconds":8000},{"name":"question","deadline_milliseconds":10000}],
 "mappings":[{"path":"/v1/generate","to":"models"},{"path":"/application/","to":"application"}],
 "limits":{"body_bytes":4096,"prefix_parts":4,"max_tokens":1000,"buffer_length":8},
 "root":{"name":"root","rank":2,"wall":"shared","keys":[{"identity":"k0","sha256":"KEY0"}],
  "groups":[{"name":"clerks","rank":7,"wall":"group","tenants":[{"name":"north"},
             {"name":"south","rank":9,"keys":[{"identity":"k1","sha256":"KEY1"}]}]},
            {"name":"portal","wall":"isolated","tenants":[{"name":"citizens",
             "keys":[{"identity":"k2","sha256":"KEY2"}],"models":["small"]}]}]}})");

inline auto tree() -> std::string {
    auto text = tree_text;
    for (auto number = 0; number < 3; ++number) {
        auto const mark = "KEY" + std::to_string(number);
        text.replace(text.find(mark), 4, sha256_of("secret-" + std::to_string(number)));
    }
    return text;
}

inline auto replaced(std::string text, std::string const& what, std::string const& with) -> std::string {
    auto const place = text.find(what);
    REQUIRE(place != std::string::npos);
    return text.replace(place, what.size(), with);
}

inline auto make_inference(
    std::uint64_t number, std::int64_t max_tokens = 100, Microseconds deadline = 100 * one_second) -> InferenceRequest {
    InferenceRequest inference;
    inference.number = number;
    inference.body.model = "large";
    inference.body.max_tokens = max_tokens;
    inference.tenant_path = "/root/tenant";
    inference.isolation_domain = "fleet";
    inference.deadline = deadline;
    return inference;
}

inline auto with_prefix(InferenceRequest inference, std::vector<std::uint64_t> chain, std::int64_t tokens_each)
    -> InferenceRequest {
    inference.chain = std::move(chain);
    for (auto count = std::size_t{0}; count < inference.chain.size(); ++count)
        inference.body.prefix.push_back({"part", tokens_each});
    inference.prefix_tokens = tokens_each * static_cast<std::int64_t>(inference.chain.size());
    return inference;
}

inline auto report_of(std::int64_t free_memory, std::string weights = "w1") -> ReplicaReport {
    ReplicaReport report;
    report.incarnation = "first";
    report.weights = std::move(weights);
    report.free_memory = free_memory;
    return report;
}

// A granting table over replicas r0, r1, ... of model "large", all reported.
inline auto make_scheduler(std::size_t replicas, std::int64_t capacity = 2, std::int64_t memory = 100'000)
    -> Scheduler {
    Scheduler scheduler;
    scheduler.load_table.self = "self";
    ReplicaList list;
    for (auto number = std::size_t{0}; number < replicas; ++number) {
        ReplicaEntry entry;
        entry.name = "r" + std::to_string(number);
        entry.address = "127.0.0.1:" + std::to_string(9'000 + number);
        entry.model = "large";
        entry.capacity = capacity;
        entry.memory = memory;
        list.replicas.push_back(entry);
    }
    scheduler.load_table.take_list(list);
    for (auto const& entry : list.replicas) scheduler.load_table.take_report(entry.name, report_of(memory), 1);
    return scheduler;
}

inline auto enqueue(Scheduler& scheduler, InferenceRequest const& inference, Microseconds now) -> Decisions {
    Decisions decisions;
    scheduler.enqueue(inference, now, decisions);
    return decisions;
}

inline auto schedule(Scheduler& scheduler, Microseconds now, Microseconds proof_age = 0) -> Decisions {
    Decisions decisions;
    scheduler.schedule(now, proof_age, decisions);
    return decisions;
}

}  // namespace dockrock::testing
