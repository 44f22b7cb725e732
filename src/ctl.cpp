// roserailctl: the operators' command line.

#include "protocol/json.h"
#include "protocol/settings.h"
#include "state/document.h"
#include "transport/clock.h"
#include "transport/operatorclient.h"
#include "transport/program.h"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace
{

using namespace roserail;
using Json = nlohmann::json;

constexpr Millis DefaultWait{15000};

// One call of the program.
struct Call {
    OperatorClient client;
    std::vector<std::string> arguments; // after the command's name
    std::string file;
    std::string changeId;
    std::string token;
    Time deadline{};
};

Result<std::string> readInput(const Call &call)
{
    if (call.file.empty())
        return Error{ErrorKind::BadRequest, "a document is needed; pass -f FILE, or -f - for standard input"};
    if (call.file != "-")
        return readTextFile(call.file);
    std::ostringstream text;
    text << std::cin.rdbuf();
    return text.str();
}

Result<std::string> apply(const Call &call)
{
    BOOST_OUTCOME_TRY(text, readInput(call));
    const std::string id = call.changeId.empty() ? fmt::format("{:016x}{:016x}", randomNumber(), randomNumber()) : call.changeId;
    // The change id makes it safe to send the change again after a lost answer.
    return call.client.sendToLeader("POST", "/document?change_id=" + id, text, call.deadline);
}

Result<std::string> check(const Call &call)
{
    BOOST_OUTCOME_TRY(text, readInput(call));
    BOOST_OUTCOME_TRY(sections, parseDocumentFile(text));
    if (call.client.addresses().empty())
        return fmt::format("{} sections are well formed; pass --control to check references too\n", sections.size());
    return call.client.sendToLeader("POST", "/check", text, call.deadline);
}

Result<std::string> get(const Call &call)
{
    return call.client.sendToLeader("GET", "/document", "", call.deadline);
}

// Shows the sections that applying the file would change.
Result<std::string> diff(const Call &call)
{
    BOOST_OUTCOME_TRY(text, readInput(call));
    BOOST_OUTCOME_TRY(ours, parseDocumentFile(text));
    BOOST_OUTCOME_TRY(current, get(call));
    BOOST_OUTCOME_TRY(theirs, parseDocumentFile(current));
    std::string out;
    for (const FileSection &mine : ours) {
        const FileSection *known = nullptr;
        for (const FileSection &it : theirs)
            known = it.name == mine.name ? &it : known;
        if (known != nullptr && known->text == mine.text && !mine.remove)
            continue;
        const uint64_t revision = known == nullptr ? 0 : known->baseRevision;
        out += fmt::format("section {}: {}{}\n", mine.name, mine.remove ? "removed" : (known == nullptr ? "new" : "changed"),
                           revision == mine.baseRevision
                               ? ""
                               : fmt::format(" (based on revision {}, now {}: apply would conflict)", mine.baseRevision, revision));
        std::istringstream before(known == nullptr ? "" : known->text);
        std::istringstream after(mine.remove ? "" : mine.text);
        std::vector<std::string> old;
        std::vector<std::string> fresh;
        for (std::string line; std::getline(before, line);)
            old.push_back(line);
        for (std::string line; std::getline(after, line);)
            fresh.push_back(line);
        for (const std::string &it : old)
            out += std::find(fresh.begin(), fresh.end(), it) == fresh.end() ? fmt::format("- {}\n", it) : "";
        for (const std::string &it : fresh)
            out += std::find(old.begin(), old.end(), it) == old.end() ? fmt::format("+ {}\n", it) : "";
    }
    return out.empty() ? "no difference\n" : out;
}

std::string statusLine(const std::string &address, const Json &json)
{
    std::string out = fmt::format(
        "{} id={} incarnation={} role={} leads={} term={} commit={} applied={} revision={} slots={} claims={}{}\n", address,
        json["self"]["id"].dump(), json["self"]["incarnation"].dump(), json.value("role", ""), json.value("leads", false),
        json["term"].dump(), json["commitIndex"].dump(), json["appliedIndex"].dump(), json["revision"].dump(), json["slots"].dump(),
        json["claims"].dump(), json.value("founded", false) ? "" : " (not founded: run 'roserailctl bootstrap', or wait for repair)");
    if (!json.value("diskFault", "").empty())
        out += fmt::format("  disk fault: {}\n", json.value("diskFault", ""));
    if (!json.value("leads", false))
        return out;
    for (const Json &it : json["members"])
        out += fmt::format("  member id={} incarnation={} {} match={}\n", it["id"].dump(), it["incarnation"].dump(),
                           it.value("voter", false) ? "voter" : "learner (being repaired)",
                           it.contains("matchIndex") ? it["matchIndex"].dump() : "-");
    return out;
}

Result<std::string> status(const Call &call)
{
    std::string out;
    for (const std::string &address : call.client.addresses()) {
        const Result<std::string> answer = call.client.sendRequest(address, "GET", "/status", "");
        const Json json = answer.has_value() ? Json::parse(answer.value(), nullptr, false) : Json();
        out += json.is_object() ? statusLine(address, json) : fmt::format("{} unreachable\n", address);
    }
    return out;
}

Result<std::string> dump(const Call &call)
{
    return call.client.sendToLeader("GET", "/dump", "", call.deadline);
}

// Founds a new system from replicas whose data folders are all empty.
Result<std::string> bootstrap(const Call &call)
{
    Json members = Json::array();
    for (const std::string &address : call.client.addresses()) {
        Result<std::string> answer = Error{};
        do {
            answer = call.client.sendRequest(address, "GET", "/status", "");
            if (answer.has_error())
                std::this_thread::sleep_for(Millis(100));
        } while (answer.has_error() && monotonicNow() < call.deadline);
        BOOST_OUTCOME_TRY(text, std::move(answer));
        const Json json = Json::parse(text, nullptr, false);
        if (!json.is_object() || !json.contains("self"))
            return Error{ErrorKind::Unavailable, fmt::format("{} is not a control replica; correct --control", address)};
        if (json.value("founded", false))
            return Error{
                ErrorKind::Conflict,
                fmt::format(
                    "{} already belongs to system {}; a second history is never founded; to repair a replica, just start it with an empty "
                    "data folder",
                    address, json["clusterId"].dump())};
        members.push_back(Json{{"id", json["self"]["id"]}, {"incarnation", json["self"]["incarnation"]}, {"operatorAddress", address}});
    }
    BOOST_OUTCOME_TRY(settingsText, readInput(call));
    BOOST_OUTCOME_TRY(settings, parseControlSettings(settingsText, call.file));
    for (Json &member : members) {
        for (const PeerSettings &it : settings.replicas) {
            if (Json(it.id) == member["id"])
                member["peerAddress"] = it.peerAddress;
        }
        if (!member.contains("peerAddress"))
            return Error{ErrorKind::BadSettings,
                         fmt::format("replica {} is not in 'replicas' of {}; add it", member["id"].dump(), call.file)};
    }
    const Json body{{"clusterId", randomNumber() | 1}, {"members", members}};
    for (const std::string &address : call.client.addresses()) {
        const Result<std::string> founded = call.client.sendRequest(address, "POST", "/bootstrap", body.dump());
        if (founded.has_error())
            return founded.error();
    }
    return fmt::format("founded a system of {} replicas\n", members.size());
}

Result<std::string> replica(const Call &call)
{
    if (call.arguments.size() != 2)
        return Error{ErrorKind::BadRequest, "use 'replica add ID' or 'replica remove ID'"};
    return call.client.sendToLeader("POST", fmt::format("/replicas?action={}&id={}", call.arguments[0], call.arguments[1]), "",
                                    call.deadline);
}

Result<std::string> forget(const Call &call)
{
    if (call.arguments.size() != 1)
        return Error{ErrorKind::BadRequest, "use 'forget ENDPOINT', only once its process is gone for good"};
    return call.client.sendToLeader("POST", "/forget?endpoint=" + call.arguments[0], "", call.deadline);
}

Result<std::string> transfer(const Call &call)
{
    std::string out;
    for (const std::string &address : call.client.addresses()) {
        const Result<std::string> answer = call.client.sendRequest(address, "POST", "/transfer", "");
        if (answer.has_error() && answer.error().kind != ErrorKind::Unavailable)
            return answer.error();
    }
    return std::string("asked the leader to hand over; see 'roserailctl status'\n");
}

Result<std::string> hashToken(const Call &call)
{
    if (call.token.empty())
        return Error{ErrorKind::BadRequest, "pass the token with --token or --token-file"};
    return sha256Hex(call.token) + "\n";
}

struct Command {
    std::string_view name;
    std::string_view help;
    Result<std::string> (*run)(const Call &);
};

constexpr std::array Commands{
    Command{"apply", "apply -f FILE: change sections of the document; returns once the change is in force everywhere", apply},
    Command{"check", "check -f FILE: check a document without changing anything", check},
    Command{"diff", "diff -f FILE: show what apply would change", diff},
    Command{"get", "print the document with its revisions", get},
    Command{"status", "show every control replica and the progress of repairs", status},
    Command{"dump", "print the leader's state: routers, endpoints, slots", dump},
    Command{"bootstrap", "bootstrap -f SETTINGS: found a new system from empty replicas", bootstrap},
    Command{"replica", "replica add ID | replica remove ID: change the set of control replicas", replica},
    Command{"transfer", "make the leader hand over to another replica", transfer},
    Command{"forget", "forget ENDPOINT: state that an endpoint's process is gone for good", forget},
    Command{"token", "print the SHA-256 of --token, for the document and the settings", hashToken},
};

int usage(const cxxopts::Options &options, std::ostream &out, int code)
{
    out << options.help() << "\nCommands:\n";
    for (const Command &it : Commands)
        out << fmt::format("  {:10} {}\n", it.name, it.help);
    return code;
}

int fail(const Error &error)
{
    std::cerr << traits(error.kind).name << ": " << error.message << "\n";
    return traits(error.kind).exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("roserailctl", "Operates a roserail system.");
    options.add_options()("command", "what to do", cxxopts::value<std::vector<std::string>>())(
        "control", "operator addresses of the control replicas, host:port,...", cxxopts::value<std::vector<std::string>>())(
        "token", "operator token", cxxopts::value<std::string>()->default_value(""))("token-file", "file with the operator token",
                                                                                     cxxopts::value<std::string>())(
        "f,file", "input file", cxxopts::value<std::string>()->default_value(""))("change-id", "use the same one to send a change again",
                                                                                  cxxopts::value<std::string>()->default_value(""))(
        "wait-ms", "how long to try", cxxopts::value<int64_t>()->default_value(std::to_string(DefaultWait.count())))(
        "version", "print the version")("h,help", "print this help");
    options.parse_positional({"command"});
    options.positional_help("COMMAND");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help"))
            return usage(options, std::cout, 0);
        if (arguments.count("version")) {
            std::cout << "roserailctl " ROSERAIL_VERSION "\n";
            return 0;
        }
        if (!arguments.count("command"))
            return usage(options, std::cerr, traits(ErrorKind::BadRequest).exitCode);
        std::vector<std::string> words = arguments["command"].as<std::vector<std::string>>();
        std::string token = arguments["token"].as<std::string>();
        if (arguments.count("token-file")) {
            const Result<std::string> text = readTextFile(arguments["token-file"].as<std::string>());
            if (text.has_error())
                return fail(text.error());
            token = text.value().substr(0, text.value().find_first_of("\r\n"));
        }
        const std::vector<std::string> control
            = arguments.count("control") ? arguments["control"].as<std::vector<std::string>>() : std::vector<std::string>();
        const Call call{OperatorClient(control, token),
                        std::vector<std::string>(words.begin() + 1, words.end()),
                        arguments["file"].as<std::string>(),
                        arguments["change-id"].as<std::string>(),
                        token,
                        monotonicNow() + Millis(arguments["wait-ms"].as<int64_t>())};
        for (const Command &it : Commands) {
            if (it.name != words[0])
                continue;
            const Result<std::string> answer = it.run(call);
            if (answer.has_error())
                return fail(answer.error());
            std::cout << answer.value();
            return 0;
        }
        std::cerr << fmt::format("no command is named '{}'; see --help\n", words[0]);
        return traits(ErrorKind::BadRequest).exitCode;
    } catch (const cxxopts::exceptions::exception &ex) {
        std::cerr << ex.what() << "; see --help\n";
        return traits(ErrorKind::BadRequest).exitCode;
    }
}
