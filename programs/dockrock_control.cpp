// dockrock-control: command-line client for operators. docs/interfaces.md.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include "connection/http_client.hpp"
#include "sequence/configuration.hpp"

namespace {

using namespace dockrock;

auto read_input(std::string const& path) -> std::string {
    if (path == "-") return std::string(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>());
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream) throw std::runtime_error("cannot read " + path);
    return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

// Removes a key from all "keys" lists in the tree; returns how many entries were removed.
auto remove_key(json::value& branch, std::string const& identity) -> int {
    auto removed = 0;
    if (branch.is_array()) {
        for (auto& item : branch.as_array()) removed += remove_key(item, identity);
    } else if (branch.is_object()) {
        for (auto& item : branch.as_object()) {
            if (item.key() != "keys" || !item.value().is_array()) {
                removed += remove_key(item.value(), identity);
                continue;
            }
            auto& keys = item.value().as_array();
            auto remaining = json::array();
            for (auto& key : keys) {
                auto const* name = key.is_object() ? key.as_object().if_contains("identity") : nullptr;
                if (name != nullptr && name->is_string() && name->as_string() == identity) ++removed;
                else remaining.push_back(key);
            }
            keys = std::move(remaining);
        }
    }
    return removed;
}

struct Client {
    std::string address;
    std::string key;
    auto ask(HttpCall call) const -> HttpAnswer { return http_call_and_wait(address, std::move(call), key); }
};

auto print(HttpAnswer const& answer) -> int {
    if (answer.end != CallEnd::answered) {
        std::cerr << "no answer from the node\n";
        return 3;
    }
    if (!answer.etag.empty()) std::cerr << "sequence " << answer.etag << "\n";
    (answer.status < 300 ? std::cout : std::cerr) << answer.body << "\n";
    if (answer.status < 300) return 0;
    return answer.status == 504 ? 4 : answer.status == 412 ? 5 : 1;
}

auto change(
    Client const& client, http::verb method, std::string const& body, std::string const& condition,
    std::string const& identity) -> int {
    auto call = make_http_call(method, "/control/configuration", body);
    if (method == http::verb::patch) call.content_type = "application/json-patch+json";
    if (!condition.empty()) call.headers.emplace_back("If-Match", condition);
    if (!identity.empty()) call.headers.emplace_back("Change-Identity", identity);
    return print(client.ask(call));
}

auto revoke(Client const& client, std::string const& identity) -> int {
    for (auto count = 0; count < 10; ++count) {  // conditional update: must not overwrite a concurrent change
        auto const current = client.ask(make_http_call(http::verb::get, "/control/configuration"));
        auto tree = current.status == 200 ? parse_json(current.body) : std::nullopt;
        if (!tree) return print(current);
        if (remove_key(*tree, identity) == 0) {
            std::cerr << "no key of this identity\n";
            return 1;
        }
        auto call = make_http_call(http::verb::put, "/control/configuration", json::serialize(*tree));
        call.headers.emplace_back("If-Match", current.etag);
        auto const answer = client.ask(call);
        if (answer.status != 412) return print(answer);
    }
    return 5;
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine(
        "dockrock-control: reads and changes a fleet's configuration through any node.\n"
        "  get | put FILE | patch FILE | check FILE | change IDENTITY | status | revoke KEY-IDENTITY | weights SERVICE "
        "NAME | hash "
        "(a key on standard input)\n"
        "Exit: 0 done, 1 refused, 3 no answer, 4 outcome not known, 5 condition not met.",
        ' ', "0.1.0");
    auto node =
        TCLAP::ValueArg<std::string>("n", "node", "a node's HTTP address", false, "127.0.0.1:5001", "IP:PORT", command);
    auto key = TCLAP::ValueArg<std::string>("", "key-file", "file with the operator's key", false, "", "FILE", command);
    auto condition = TCLAP::ValueArg<std::string>(
        "", "if-match", "only where this sequence is in force", false, "", "SEQUENCE", command);
    auto identity = TCLAP::ValueArg<std::string>(
        "", "change-identity", "your name for this change; repeat it to find its outcome", false, "", "NAME", command);
    auto words = TCLAP::UnlabeledMultiArg<std::string>("words", "what to do", true, "WORD", command);
    command.parse(argument_count, arguments);
    auto const& asked = words.getValue();
    auto const word = [&](std::size_t place) { return place < asked.size() ? asked[place] : std::string(); };
    try {
        auto secret = key.isSet() ? read_input(key.getValue()) : std::string();
        while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) secret.pop_back();
        auto const client = Client{node.getValue(), secret};
        if (word(0) == "get") return print(client.ask(make_http_call(http::verb::get, "/control/configuration")));
        if (word(0) == "status") return print(client.ask(make_http_call(http::verb::get, "/control/status")));
        if ((word(0) == "put" || word(0) == "patch") && asked.size() == 2) {
            auto const method = word(0) == "put" ? http::verb::put : http::verb::patch;
            return change(client, method, read_input(word(1)), condition.getValue(), identity.getValue());
        }
        if (word(0) == "check" && asked.size() == 2)
            return print(client.ask(make_http_call(http::verb::post, "/control/check", read_input(word(1)))));
        if (word(0) == "change" && asked.size() == 2)
            return print(client.ask(make_http_call(http::verb::get, "/control/changes/" + word(1))));
        if (word(0) == "revoke" && asked.size() == 2) return revoke(client, word(1));
        if (word(0) == "weights" && asked.size() == 3) {
            auto call = make_http_call(
                http::verb::put, "/control/services/" + word(1) + "/weights",
                json::serialize(fields("weights", word(2))));
            if (!identity.getValue().empty()) call.headers.emplace_back("Change-Identity", identity.getValue());
            return print(client.ask(call));
        }
        if (word(0) == "form-anew" && asked.size() == 2)
            return print(client.ask(
                make_http_call(http::verb::post, "/control/form-anew", json::serialize(fields("fleet", word(1))))));
        if (word(0) == "hash") {
            auto text = read_input("-");
            while (!text.empty() && text.back() == '\n') text.pop_back();
            std::cout << sha256_of(text) << "\n";
            return 0;
        }
    } catch (std::exception const& failure) {
        std::cerr << failure.what() << "\n";
        return 1;
    }
    std::cerr << "unknown words; see --help\n";
    return 2;
}
