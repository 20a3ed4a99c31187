// The node's control plane: dispatches events to its state machines. docs/design.md section 5 and 9.
#include "control/control.hpp"

namespace dockrock {

auto Control::start(
    ControlSettings const& given, std::string const& identity, std::uint64_t incarnation, std::uint64_t seed,
    std::vector<SavedPartition> const& saved_partitions, bool had_state, Microseconds now) -> void {
    settings = given;
    random.state = seed;
    membership.seeds = given.seeds;
    set_identity(identity, incarnation);
    load_partitions(saved_partitions, had_state, now);
}

// The old identity is not announced as gone: nodes that see the new one at this address with a higher
// incarnation know it. A node with an empty disk continues as a new identity and votes as one.
auto Control::take_disk(
    std::string const& identity, std::uint64_t incarnation, std::vector<SavedPartition> const& saved_partitions,
    bool had_state, Microseconds now) -> void {
    settings.core = true;
    membership.known.erase(identity);
    set_identity(identity, std::max(incarnation, membership.self.incarnation + 1));
    load_partitions(saved_partitions, had_state, now);
}

auto Control::set_identity(std::string const& identity, std::uint64_t incarnation) -> void {
    auto& self = membership.self;
    self = Member{};
    self.identity = identity;
    self.control_address = settings.control_address;
    self.http_address = settings.http_address;
    self.area = settings.area;
    self.core = settings.core;
    self.incarnation = incarnation;
    if (settings.core && !settings.may_form) self.never_forms = true;
}

auto Control::load_partitions(std::vector<SavedPartition> const& saved_partitions, bool had_state, Microseconds now)
    -> void {
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto& partition = partitions[index];
        partition.index = static_cast<int>(index);
        partition.core_count = settings.core_count;
        partition.machines_lost = settings.machines_lost;
        partition.claims.life = membership.self.incarnation;
        partition.leader_heard = partition.leader_since = now;
        if (had_state) partition.vote_from = now + partition.times.grant_duration;
    }
    for (auto const& saved_part : saved_partitions) {
        if (saved_part.partition < 0 || saved_part.partition >= static_cast<int>(partition_count)) continue;
        auto& partition = partitions[static_cast<std::size_t>(saved_part.partition)];
        partition.votes = saved_part.votes;
        partition.reset_progress(now);
        partition.claims.load(saved_part.claims, now);
        if (saved_part.copy) {
            partition.copy = *saved_part.copy;
            partition.synced = partition.copy.sequence;
            partition.last_written = partition.copy.sequence;
        }
    }
    membership.self.knows_fleet = knows_fleet();
    blank_since = cores_since = now;
    load_relay.number = random.next() >> 12U;
    cache_feed.id = random.next() | 1U;
}

auto Control::drain(Context& context, ControlOutput& output) -> void {
    for (auto& save : context.saves) output.saves.push_back(std::move(save));
    context.saves.clear();
    for (auto& done : context.done) {
        if (done.origin == membership.self.control_address)
            finish_call(done.token, done.status, std::move(done.body), std::move(done.etag), output);
        else
            output.sends.push_back(
                {done.origin, CallAnswer{done.token, done.status, std::move(done.body), std::move(done.etag)}});
    }
    context.done.clear();
    for (auto& [address, answer] : context.claim_answers) {
        if (address == membership.self.control_address) take_claim_answer(answer, output);
        else output.sends.push_back({std::move(address), answer});
    }
    context.claim_answers.clear();
    for (auto& send : context.sends) {
        if (send.identity == membership.self.identity) loopback.push_back(std::move(send));
        else if (auto address = membership.address_of(send.identity); !address.empty())
            output.sends.push_back({std::move(address), std::move(send.message)});
    }
    context.sends.clear();
}

// Core nodes considered alive that are not shutting down.
auto Control::staying_cores() const -> std::vector<Member> {
    auto cores = membership.alive_members(true);
    std::erase_if(cores, [](auto const& member) { return member.leaving.value_or(false); });
    return cores;
}

auto Control::with_partitions(Microseconds now, ControlOutput& output, std::function<void(Context&)> const& work)
    -> void {
    auto context = Context{
        now,
        membership.self.identity,
        random,
        [this] { return staying_cores(); },
        [this](std::string const& identity) { return membership.alive(identity); },
        {},
        {},
        {}};
    context.leaving = [this](std::string const& identity) { return membership.leaving(identity); };
    work(context);
    drain(context, output);
    while (!loopback.empty()) {  // a node that is its own voter gets the same messages as others
        auto pending = std::move(loopback);
        loopback.clear();
        for (auto const& item : pending)
            deliver({now, membership.self.identity, membership.self.control_address, output}, item.message);
    }
}

auto Control::receive(Microseconds now, std::string const& from, std::string const& address, Message const& message)
    -> ControlOutput {
    ControlOutput output;
    membership.heard_from(from, now);
    deliver({now, from, address, output}, message);
    publish(now, output);
    // After an answer that was held or brought a change, the next request is sent without waiting
    // for a tick; after immediate answers the ticks limit the rate.
    auto const* answer = std::get_if<UpdateAnswer>(&message);
    if (answer != nullptr && is_partition(answer->partition) && !resting) {
        auto const& item = views[static_cast<std::size_t>(answer->partition)];
        if (output.snapshot_changed || next_request_held(item, answer->partition, now)) request_updates(now, output);
    }
    return output;
}

auto Control::saved(Microseconds now, std::uint64_t token, bool ok) -> ControlOutput {
    ControlOutput output;
    with_partitions(now, output, [&](Context& context) {
        for (auto& partition : partitions) partition.saved(context, token, ok);
    });
    publish(now, output);
    return output;
}

auto Control::tick(Microseconds now) -> ControlOutput {
    ControlOutput output;
    membership.self.knows_fleet = knows_fleet();
    update_load_relaying();
    membership.tick(now, random, output.sends);
    if (settings.core) {
        with_partitions(now, output, [&](Context& context) {
            form(now, context);
            for (auto& partition : partitions) partition.tick(context);
        });
    }
    share_load(now, output);
    ask_feed(now, output);
    publish(now, output);
    request_updates(now, output);
    request_version_ages(now, output);
    tick_calls(now, output);
    tick_claims(now, output);
    tick_recovery(now, output);
    answer_expired(now, output);
    return output;
}

}  // namespace dockrock
