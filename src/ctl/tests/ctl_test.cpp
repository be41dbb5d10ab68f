#include "common/hash.h"
#include "common/json.h"
#include "ctl/internal/table.h"
#include "ctl/run.h"
#include "http/server.h"
#include "store/tests/fake_key_value_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

using namespace almondline;

namespace {

const std::string examples = std::string{ALMONDLINE_SOURCE_DIR} + "/examples/";

/// Server that acts as the store and an entry instance. Runs on its own thread because commands
/// block.
struct platform {
    platform() : thread{[this] { io.run(); }} {}
    ~platform()
    {
        io.stop();
        thread.join();
    }
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    boost::asio::awaitable<void> handle(http_exchange& exchange)
    {
        auto response = answer(exchange.request());
        if (response.status == 0) {
            exchange.abort();
            co_return;
        }
        co_await exchange.reply(std::move(response));
    }

    /// Status 0 means that the connection is closed without a response.
    http_response answer(const http_request& request)
    {
        const std::lock_guard lock{mutex};
        last_request = request;
        const auto path = std::string{target_path(request.target)};
        if (path.rfind("/v1/kv/", 0) == 0) {
            return answer_store(percent_decode(path.substr(7)));
        }
        return loses_response ? http_response{0, {}, {}} : entry_response;
    }

    http_response answer_store(const std::string& key)
    {
        http_response response;
        const auto expected = query_parameter(last_request.target, "expect");
        if (last_request.method == "GET") {
            const boost::json::object body{{"value", store.value(key)},
                                           {"revision", store.revision(key)}};
            return json_response(store.contains(key) ? 200 : 404, boost::json::serialize(body));
        }
        store.compare_and_swap(
            key, std::stoull(expected), last_request.body, {}, [&](const put_result& r) {
                const auto body = R"({"revision":)" + std::to_string(r.revision) + "}";
                response = json_response(r.status == put_status::done ? 200 : 409, body);
                response.status = r.status == put_status::unknown ? 0 : response.status;
            });
        store.run();
        return response;
    }

    std::mutex mutex; ///< guards the members that handle() uses on the server's thread
    manual_clock clock;
    fake_key_value_store store{clock};
    http_request last_request;
    http_response entry_response = json_response(200, R"({"instance":"e1","tiers":[]})");
    bool loses_response = false;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        io.get_executor()};
    http_server server{io, {"127.0.0.1", 0}, {}, [this](http_exchange& e) { return handle(e); }};
    std::thread thread;
};

struct outcome {
    int code = 0;
    std::string out;
    std::string err;
};

outcome run(std::vector<std::string> arguments, const std::string& input = {})
{
    std::istringstream in{input};
    std::ostringstream out;
    std::ostringstream err;
    const system_clock_source clock;
    ctl::ctl_context context{in, out, err, clock};
    const int code = ctl::run_almondctl(std::move(arguments), context);
    return {code, out.str(), err.str()};
}

struct fixture {
    fixture()
    {
        std::ofstream{directory / "key"} << "secret\n";
        std::ofstream{directory / "ctl.ini"}
            << "[store]\naddresses=" << address << "\n[entry]\naddress=" << address
            << "\n[operator]\nname=kim\nkey_file=" << (directory / "key").string() << "\n";
    }
    ~fixture() { std::filesystem::remove_all(directory); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    outcome run_with_config(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), {"--config", (directory / "ctl.ini").string()});
        return run(std::move(arguments));
    }

    platform services;
    std::string address = "127.0.0.1:" + std::to_string(services.server.port());
    std::filesystem::path directory = make_directory();

    static std::filesystem::path make_directory()
    {
        auto path = std::filesystem::temp_directory_path() / ("almondctl-" + random_id());
        std::filesystem::create_directory(path);
        return path;
    }
};

} // namespace

TEST_CASE("usage and input errors exit with 2 and a message about the error")
{
    struct row {
        std::vector<std::string> arguments;
        std::string part;
    };
    const row rows[] = {
        {{}, "subcommand"},
        {{"no-such-command"}, "no-such-command"},
        {{"manifest", "remove"}, "remove"},
        {{"manifest", "publish", "x.json"}, "--based-on"},
        {{"manifest", "validate", "missing.json"}, "missing.json: cannot open the file"},
        {{"manifest", "history"}, "no store address"},
        {{"status"}, "no entry address"},
        {{"--entry", "127.0.0.1:1", "status"}, "no operator key file"},
        {{"--store", "localhost:1", "manifest", "history"}, "\"localhost:1\" is not an address"},
        {{"--config", "missing.ini", "status"}, "missing.ini: cannot open the file"},
        {{"log-level", "peer", "loud"}, "\"loud\" is not one of"},
        {{"hash-key"}, "no key"},
        {{"completion", "fish"}, "fish"},
    };
    for (const auto& it : rows) {
        CAPTURE(it.part);
        const auto result = run(it.arguments);
        CHECK(result.code == 2);
        CHECK(result.err.find(it.part) != std::string::npos);
        CHECK(result.out.empty());
    }
}

TEST_CASE("commands that need no server work offline")
{
    CHECK(run({"--version"}).out == "almondctl " ALMONDLINE_VERSION "\n");
    CHECK(run({"hash-key"}, "abc\n").out == sha256_hex("abc") + "\n");
    CHECK(run({"manifest", "validate", examples + "shelfmark.json"}).code == 0);
    CHECK(run({"manifest", "validate", "-", "--json"}, "{}").out ==
          R"({"valid":false,"file":"standard input","line":0,"where":"schema",)"
          R"("error":"is missing","exit_code":2})"
          "\n");
    const auto diff =
        run({"manifest", "diff", examples + "shelfmark.json", examples + "goldfields.json"});
    CHECK(diff.out.find("~ manifest.name: shelfmark -> goldfields") != std::string::npos);
    const auto script = run({"completion", "bash"}).out;
    CHECK(script.find("\"manifest\") words=\"validate diff publish history show") !=
          std::string::npos);
}

TEST_CASE("publish, history, show and diff work over HTTP, and a lost race exits with 4")
{
    fixture f;
    const auto publish = [&](const std::string& file, const std::string& based_on) {
        return f.run_with_config({"manifest", "publish", examples + file, "--based-on", based_on});
    };
    CHECK(f.run_with_config({"manifest", "history"}).code == 1);
    CHECK(publish("shelfmark.json", "0").out == "published version 1\n");
    CHECK(publish("goldfields.json", "1").out == "published version 2\n");
    const auto lost = publish("shelfmark.json", "1");
    CHECK(lost.code == 4);
    CHECK(lost.err ==
          "not published: version 2 by kim is current, the change is based on version 1\n");
    {
        const std::lock_guard lock{f.services.mutex};
        f.services.store.set_faults({store_fault::none, store_fault::lose_response});
    }
    CHECK(publish("shelfmark.json", "2").out == "published version 3\n");
    const auto history = f.run_with_config({"manifest", "history", "--json"});
    CHECK(parse_json(history.out)->at("history").as_array().size() == 3);
    CHECK(f.run_with_config({"manifest", "show", "2"}).out.find("goldfields") != std::string::npos);
    CHECK(f.run_with_config({"manifest", "show", "9"}).code == 1);
    CHECK(f.run_with_config({"manifest", "diff", examples + "shelfmark.json"}).out ==
          "no differences\n");
}

// Guards against reporting that a command had no effect although only its response was lost.
TEST_CASE("operator commands authenticate and map responses to exit codes")
{
    struct row {
        std::vector<std::string> arguments;
        const char* request;
        int status;
        bool loses_response;
        int code;
        const char* part;
    };
    const std::string refusal = R"({"error":{"code":"x","message":"wrong key"}})";
    const row rows[] = {
        {{"status"}, "GET /operator/status", 200, false, 0, "instance  e1"},
        {{"status"}, "GET /operator/status", 401, false, 1, "answered 401: wrong key"},
        {{"status"}, "GET /operator/status", 200, true, 3, "not reachable"},
        {{"explain", "a/b"}, "GET /operator/explain/a%2Fb", 404, false, 1, "answered 404"},
        {{"drain"}, "POST /operator/drain", 200, false, 0, "e1"},
        {{"drain"}, "POST /operator/drain", 200, true, 3, "may have taken effect"},
        {{"log-level", "peer", "debug"}, "PUT /operator/log-level", 200, false, 0, "e1"},
    };
    fixture f;
    for (const auto& it : rows) {
        CAPTURE(it.request);
        {
            const std::lock_guard lock{f.services.mutex};
            f.services.loses_response = it.loses_response;
            f.services.entry_response = json_response(
                it.status, it.status == 200 ? R"({"instance":"e1","tiers":[]})" : refusal);
        }
        const auto result = f.run_with_config(it.arguments);
        CHECK(result.code == it.code);
        CHECK((result.out + result.err).find(it.part) != std::string::npos);
        const std::lock_guard lock{f.services.mutex};
        const auto& request = f.services.last_request;
        CHECK(request.method + " " + request.target == it.request);
        CHECK(find_header(request.headers, "Authorization") == "Bearer secret");
    }
    CHECK(f.services.last_request.body == R"({"component":"peer","level":"debug"})");
}

TEST_CASE("an address without a listener exits with 3")
{
    std::string address;
    {
        const platform gone;
        address = "127.0.0.1:" + std::to_string(gone.server.port());
    }
    CHECK(run({"--store", address, "manifest", "history"}).code == 3);
    CHECK(run({"--store", address, "--operator-name", "kim", "manifest", "publish",
               examples + "shelfmark.json", "--based-on", "0"})
              .code == 3);
}

TEST_CASE("render_json aligns tables and replaces control characters")
{
    const auto value = parse_json(
        R"({"id":"e\u001b1","n":2,"pools":[{"name":"chat","waiting":12},{"name":"p","x":null}],)"
        R"("store":{"calls":7},"lines":["a","b"]})");
    CHECK(ctl::render_json(*value) == "id  e?1\n"
                                      "n   2\n"
                                      "\n"
                                      "pools:\n"
                                      "name  waiting  x\n"
                                      "chat  12       -\n"
                                      "p     -        -\n"
                                      "\n"
                                      "store:\n"
                                      "calls  7\n"
                                      "\n"
                                      "lines:\n"
                                      "a\n"
                                      "b\n");
}
