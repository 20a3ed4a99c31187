// Reading the platform's settings file. docs/platform.md.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "platform/platform_protocol.hpp"
#include "platform/settings.hpp"

using namespace dockrock;

namespace {

auto const example = std::string(R"(nodeName = "core-hill-1"
role = "my-core"
mclass = "core"
serves = ["ctl"]
ip = "10.1.0.17"
zone = "hill"
region = "coast"
portRange = [7360,7375]
seeds = ["10.1.0.17:8683","10.2.0.24:8683","10.3.0.38:8683"]
bootstrap = true
counted = true
dataDir = "/data/my-core"
beatMs = 1200
contracts = ["base","drain"]
[zones]
hill = "coast"
[listen]
ctl = "10.1.0.17:8683"
[tolerate]
machines = 2
zones = 0
[bounds]
reuseS = 2
contactMs = 3000
ackMs = 4000
drainMs = 3500
graceS = 8
applyMs = 2500
revoked = true
revokeMs = 6000
retryRatio = 0.25
retryWindowS = 10
retrySlack = 58
recoverS = 12
leaseMs = 3100
verMs = 12000
[cloud]
addr = "10.200.0.24:8688"
perS = 47.0
duties = []
)");

auto replaced(std::string const& what, std::string const& with) -> std::string {
    auto text = example;
    auto const place = text.find(what);
    REQUIRE(place != std::string::npos);
    return text.replace(place, what.size(), with);
}

auto paths(std::string const& text) -> std::vector<std::string> {
    NodeSettings settings;
    std::vector<std::string> found;
    for (auto const& problem : platform::read_settings(text, settings)) found.push_back(problem.path);
    return found;
}
using Paths = std::vector<std::string>;

}  // namespace

TEST_CASE("the platform's settings of a core node are read") {
    NodeSettings settings;
    auto const problems = platform::read_settings(example, settings);
    for (auto const& problem : problems) UNSCOPED_INFO(problem.path << ": " << problem.what);
    REQUIRE(problems.empty());
    CHECK(settings.node_name == "core-hill-1");
    CHECK(settings.area == "hill");
    CHECK(settings.data_folder == "/data/my-core");
    CHECK(settings.control_address == "10.1.0.17:7360");
    CHECK(settings.http_address == "10.1.0.17:7375");
    CHECK(settings.seeds == std::vector<std::string>{"10.1.0.17:7360", "10.2.0.24:7360", "10.3.0.38:7360"});
    CHECK(settings.operator_address == "10.1.0.17:8683");
    CHECK(settings.front_address.empty());
    CHECK(settings.platform_address == "10.200.0.24:8688");
    CHECK(settings.platform_calls == 47);
    CHECK(settings.may_form);
    CHECK(settings.core_count == 0);
    CHECK(settings.workers == 1);
    CHECK_FALSE(settings.resting);
    CHECK(settings.stop_limit_milliseconds == 7'000);
    CHECK(settings.stop_notice_milliseconds == 1'200);
    auto const& bounds = settings.bounds;
    CHECK(bounds.apply == 2'500 * one_millisecond);
    CHECK(bounds.revoke == 6 * one_second);
    CHECK(bounds.drain == 3'500 * one_millisecond);
    CHECK(bounds.acknowledge == 4 * one_second);
    CHECK(bounds.contact == 3 * one_second);
    CHECK(bounds.lease == 3'100 * one_millisecond);
    CHECK(bounds.weights == 12 * one_second);
    CHECK(bounds.stop == 8 * one_second);
    CHECK(bounds.recover == 12 * one_second);
    CHECK(bounds.address_reuse == 2 * one_second);
    CHECK(bounds.retry_ratio == 0.25);
    CHECK(bounds.retry_window == 10 * one_second);
    CHECK(bounds.retry_slack == 58);
    CHECK(bounds.machines_lost == 2);
}

TEST_CASE("an edge node has no data folder, and reports not ready for longer before it stops") {
    auto text = replaced("dataDir = \"/data/my-core\"\n", "");
    auto const place = text.find("ctl = \"10.1.0.17:8683\"");
    text.replace(place, 22, "front = \"10.1.0.17:8689\"\nready = \"10.1.0.17:8687\"");
    NodeSettings settings;
    REQUIRE(platform::read_settings(text, settings).empty());
    CHECK(settings.data_folder.empty());
    CHECK(settings.front_address == "10.1.0.17:8689");
    CHECK(settings.ready_address == "10.1.0.17:8687");
    CHECK(settings.operator_address.empty());
    CHECK(settings.stop_notice_milliseconds == 2'600);
}

TEST_CASE("missing and invalid platform settings are reported with their path") {
    CHECK(paths(replaced("nodeName = \"core-hill-1\"\n", "")) == Paths{"/nodeName"});
    CHECK(paths(replaced("portRange = [7360,7375]\n", "")) == Paths{"/portRange"});
    CHECK(paths(replaced("[7360,7375]", "[7360]")) == Paths{"/portRange"});
    CHECK(paths(replaced("[7360,7375]", "[7375,7360]")) == Paths{"/portRange"});
    CHECK(paths(replaced("[7360,7375]", "[\"a\",\"b\"]")) == Paths{"/portRange"});
    CHECK(paths(replaced("bootstrap = true\n", "")) == Paths{"/bootstrap"});
    CHECK(paths(replaced("bootstrap = true", "bootstrap = \"yes\"")) == Paths{"/bootstrap"});
    CHECK(paths(replaced("\"10.2.0.24:8683\"", "\"nowhere\"")) == Paths{"/seeds/1"});
    CHECK(paths(replaced("\"10.2.0.24:8683\"", "17")) == Paths{"/seeds/1"});
    CHECK(paths(replaced("drainMs = 3500", "drainMs = \"soon\"")) == Paths{"/bounds/drainMs"});
    CHECK(paths(replaced("drainMs = 3500", "drainMs = -1")) == Paths{"/bounds/drainMs"});
    CHECK(paths(replaced("retryRatio = 0.25", "retryRatio = nan")) == Paths{"/bounds/retryRatio"});
    CHECK(paths(replaced("retryRatio = 0.25", "retryRatio = 25")) == Paths{"/bounds/retryRatio"});
    CHECK(paths(replaced("perS = 47.0", "perS = true")) == Paths{"/cloud/perS"});
    CHECK(paths(replaced("[cloud]", "[skies]")) == Paths{"/cloud"});
    CHECK(paths(replaced("addr = \"10.200.0.24:8688\"", "addr = \"x\"")) == Paths{"/platform_address"});
    CHECK(paths(replaced("ip = \"10.1.0.17\"", "ip = \"here\"")) == Paths{"/control_address", "/http_address"});
    CHECK(paths("") == Paths{"/nodeName", "/zone", "/ip", "/bootstrap", "/portRange", "/cloud"});
    CHECK(paths("nodeName = \"a\nx") == Paths{""});
    CHECK(paths(std::string("\0\xff[[[", 5)) == Paths{""});
}

TEST_CASE("omitted bounds keep their defaults, and unknown fields are ignored") {
    NodeSettings settings;
    REQUIRE(platform::read_settings(replaced("leaseMs = 3100\n", "novelMs = \"x\"\n"), settings).empty());
    CHECK(settings.bounds.lease == FleetBounds().lease);
    REQUIRE(platform::read_settings(replaced("[bounds]", "[limits]"), settings).empty());
    CHECK(settings.bounds.revoke == FleetBounds().revoke);
}

TEST_CASE("reading settings again replaces all earlier ones") {
    auto const file = (std::filesystem::temp_directory_path() / "dockrock-platform-settings.toml").string();
    auto const write = [&](std::string const& text) { std::ofstream(file, std::ios::trunc) << text; };
    NodeSettings settings;
    write(example);
    REQUIRE(platform::read_settings_at(file, settings).empty());
    write(replaced("\"10.2.0.24:8683\",\"10.3.0.38:8683\"", "\"10.9.0.9:8683\""));
    REQUIRE(platform::read_settings_at(file, settings).empty());
    CHECK(settings.seeds == std::vector<std::string>{"10.1.0.17:7360", "10.9.0.9:7360"});
    write(replaced("dataDir = \"/data/my-core\"\n", ""));
    REQUIRE(platform::read_settings_at(file, settings).empty());
    CHECK(settings.data_folder.empty());
    std::filesystem::remove(file);
    CHECK(platform::read_settings_at(file, settings).size() == 1);
}

TEST_CASE("limits are derived from the bounds") {
    FleetBounds bounds;
    CHECK(proof_limits_of(bounds).entry == 4'500 * one_millisecond);
    CHECK(proof_limits_of(bounds).shed == 4'800 * one_millisecond);
    bounds.revoke = 300 * one_millisecond;
    CHECK(proof_limits_of(bounds).entry == 150 * one_millisecond);
    CHECK(proof_limits_of(bounds).shed == 150 * one_millisecond);
    CHECK(most_extra_tries(bounds) == 1.0);
    bounds.retry_slack = 58;
    CHECK(most_extra_tries(bounds) == Approx(58.0 / 26.0));
}

TEST_CASE("the platform's protocol has all names of its wire format") {
    auto const& protocol = platform::platform_protocol();
    CHECK(protocol.ready_path == "/-/ready");
    CHECK(protocol.configuration_path == "/-/config");
    CHECK(protocol.weights_path == "/-/version-put");
    CHECK(protocol.headers.request_identity == "Request-Id");
    CHECK(protocol.headers.stamp == "Seal");
}
