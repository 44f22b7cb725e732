// roserailctl: command-line client for operators.

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

namespace
{

using namespace roserail;
using Json = nlohmann::json;

constexpr Millis DefaultWait{15000};

// The parsed command line.
struct Invocation {
    OperatorClient client;
    std::vector<std::string> arguments; // after the command's name
    std::string file;
    std::string changeId;
    std::string token;
    Time deadline{};
};

Result<std::string> readInput(const Invocation &invocation)
{
    if (invocation.file.empty())
        return Error{ErrorKind::BadRequest, "no input file; pass -f FILE, or -f - for standard input"};
    if (invocation.file != "-")
        return readTextFile(invocation.file);
    std::ostringstream text;
    text << std::cin.rdbuf();
    return text.str();
}

Result<std::string> apply(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(text, readInput(invocation));
    const std::string id
        = invocation.changeId.empty() ? fmt::format("{:016x}{:016x}", randomNumber(), randomNumber()) : invocation.changeId;
    // The change id makes the request idempotent, so that it can be sent again after a lost answer.
    return invocation.client.sendToLeader("POST", "/document?change_id=" + id, text, invocation.deadline);
}

Result<std::string> check(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(text, readInput(invocation));
    BOOST_OUTCOME_TRY(sections, parseDocumentFile(text));
    std::vector<SectionContent> contents;
    std::set<std::string> names;
    for (const FileSection &it : sections) {
        contents.push_back(it.content);
        names.insert(it.name);
    }
    BOOST_OUTCOME_TRY(checkTokens(contents, names));
    if (invocation.client.addresses().empty())
        return fmt::format("{} sections are well-formed; pass --control to check references as well\n", sections.size());
    return invocation.client.sendToLeader("POST", "/check", text, invocation.deadline);
}

Result<std::string> get(const Invocation &invocation)
{
    return invocation.client.sendToLeader("GET", "/document", "", invocation.deadline);
}

// Lists the sections that applying the file would change, with the lines removed and added. Lines are compared as sets: for
// a change of their order alone, only the section is listed.
Result<std::string> diff(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(text, readInput(invocation));
    BOOST_OUTCOME_TRY(proposed, parseDocumentFile(text));
    BOOST_OUTCOME_TRY(current, get(invocation));
    BOOST_OUTCOME_TRY(currentSections, parseDocumentFile(current));
    std::string out;
    for (const FileSection &section : proposed) {
        const FileSection *currentSection = nullptr;
        for (const FileSection &it : currentSections)
            currentSection = it.name == section.name ? &it : currentSection;
        if (currentSection != nullptr && currentSection->text == section.text && !section.remove)
            continue;
        const uint64_t revision = currentSection == nullptr ? 0 : currentSection->baseRevision;
        out += fmt::format("section {}: {}{}\n", section.name, section.remove ? "removed" : (currentSection == nullptr ? "new" : "changed"),
                           revision == section.baseRevision
                               ? ""
                               : fmt::format(" (based on revision {}, now {}: apply would conflict)", section.baseRevision, revision));
        std::istringstream oldText(currentSection == nullptr ? "" : currentSection->text);
        std::istringstream newText(section.remove ? "" : section.text);
        std::vector<std::string> oldLines;
        std::vector<std::string> newLines;
        for (std::string line; std::getline(oldText, line);)
            oldLines.push_back(line);
        for (std::string line; std::getline(newText, line);)
            newLines.push_back(line);
        for (const std::string &it : oldLines)
            out += std::find(newLines.begin(), newLines.end(), it) == newLines.end() ? fmt::format("- {}\n", it) : "";
        for (const std::string &it : newLines)
            out += std::find(oldLines.begin(), oldLines.end(), it) == oldLines.end() ? fmt::format("+ {}\n", it) : "";
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

Result<std::string> status(const Invocation &invocation)
{
    std::string out;
    for (const std::string &address : invocation.client.addresses()) {
        const Result<std::string> answer = invocation.client.sendRequest(address, "GET", "/status", "");
        const Json json = answer.has_value() ? Json::parse(answer.value(), nullptr, false) : Json();
        out += json.is_object() ? statusLine(address, json) : fmt::format("{} unreachable\n", address);
    }
    return out;
}

Result<std::string> dump(const Invocation &invocation)
{
    return invocation.client.sendToLeader("GET", "/dump", "", invocation.deadline);
}

// Bootstraps a new system from replicas whose data folders are all empty.
Result<std::string> bootstrap(const Invocation &invocation)
{
    Json members = Json::array();
    for (const std::string &address : invocation.client.addresses()) {
        BOOST_OUTCOME_TRY(text, invocation.client.sendUntilAnswered(address, "GET", "/status", "", invocation.deadline));
        const Json json = Json::parse(text, nullptr, false);
        if (!json.is_object() || !json.contains("self"))
            return Error{ErrorKind::Unavailable, fmt::format("{} is not a control replica; check --control", address)};
        if (json.value("founded", false))
            return Error{
                ErrorKind::Conflict,
                fmt::format(
                    "{} already belongs to system {}; bootstrapping again would create a second, diverging history; to repair a replica, "
                    "start it with an empty data folder",
                    address, json["clusterId"].dump())};
        members.push_back(Json{{"id", json["self"]["id"]}, {"incarnation", json["self"]["incarnation"]}, {"operatorAddress", address}});
    }
    BOOST_OUTCOME_TRY(settingsText, readInput(invocation));
    BOOST_OUTCOME_TRY(settings, parseControlSettings(settingsText, invocation.file));
    for (Json &member : members) {
        for (const PeerSettings &it : settings.replicas) {
            if (Json(it.id) == member["id"])
                member["peerAddress"] = it.peerAddress;
        }
        if (!member.contains("peerAddress"))
            return Error{ErrorKind::BadSettings,
                         fmt::format("replica {} is not in 'replicas' of {}; add it", member["id"].dump(), invocation.file)};
    }
    const Json body{{"clusterId", randomNumber() | 1}, {"members", members}};
    for (const std::string &address : invocation.client.addresses()) {
        // The id of the cluster makes the request safe to repeat. If a replica were left out, no later bootstrap could include it.
        BOOST_OUTCOME_TRY(invocation.client.sendUntilAnswered(address, "POST", "/bootstrap", body.dump(), invocation.deadline));
    }
    return fmt::format("bootstrapped a system of {} replicas\n", members.size());
}

Result<std::string> replica(const Invocation &invocation)
{
    if (invocation.arguments.size() != 2)
        return Error{ErrorKind::BadRequest, "usage: 'replica add ID' or 'replica remove ID'"};
    return invocation.client.sendToLeader(
        "POST", fmt::format("/replicas?action={}&id={}", invocation.arguments[0], invocation.arguments[1]), "", invocation.deadline);
}

Result<std::string> forget(const Invocation &invocation)
{
    if (invocation.arguments.size() != 1)
        return Error{ErrorKind::BadRequest, "use 'forget ENDPOINT', and only if its process has ended and will not return"};
    return invocation.client.sendToLeader("POST", "/forget?endpoint=" + invocation.arguments[0], "", invocation.deadline);
}

Result<std::string> transfer(const Invocation &invocation)
{
    std::string out;
    for (const std::string &address : invocation.client.addresses()) {
        const Result<std::string> answer = invocation.client.sendRequest(address, "POST", "/transfer", "");
        if (answer.has_error() && answer.error().kind != ErrorKind::Unavailable)
            return answer.error();
    }
    return std::string("requested a leadership transfer; see 'roserailctl status'\n");
}

Result<std::string> hashToken(const Invocation &invocation)
{
    if (invocation.token.empty())
        return Error{ErrorKind::BadRequest, "pass the token with --token or --token-file"};
    return sha256Hex(invocation.token) + "\n";
}

struct Command {
    std::string_view name;
    std::string_view help;
    Result<std::string> (*run)(const Invocation &);
};

constexpr std::array Commands{
    Command{"apply", "apply -f FILE: change sections of the document; returns once the change is in force on all routers", apply},
    Command{"check", "check -f FILE: validate a document without applying it", check},
    Command{"diff", "diff -f FILE: show what apply would change", diff},
    Command{"get", "print the document with its revisions", get},
    Command{"status", "show all control replicas and the progress of repairs", status},
    Command{"dump", "print the leader's state: routers, endpoints, slots", dump},
    Command{"bootstrap", "bootstrap -f SETTINGS: create a new system from replicas with empty data folders", bootstrap},
    Command{"replica", "replica add ID | replica remove ID: change the membership of the control replicas", replica},
    Command{"transfer", "transfer leadership to another replica", transfer},
    Command{"forget", "forget ENDPOINT: confirm that an endpoint's process has ended and will not return", forget},
    Command{"token", "print the SHA-256 of --token, for the document and the settings", hashToken},
};

int printUsage(const cxxopts::Options &options, std::ostream &out, int code)
{
    out << options.help() << "\nCommands:\n";
    for (const Command &it : Commands)
        out << fmt::format("  {:10} {}\n", it.name, it.help);
    return code;
}

int printError(const Error &error)
{
    std::cerr << traits(error.kind).name << ": " << error.message << "\n";
    return traits(error.kind).exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("roserailctl", "Operates a roserail system.");
    options.add_options()("command", "command and its arguments", cxxopts::value<std::vector<std::string>>())(
        "control", "operator addresses of the control replicas, host:port,...",
        cxxopts::value<std::vector<std::string>>())("token", "operator token", cxxopts::value<std::string>()->default_value(""))(
        "token-file", "file with the operator token", cxxopts::value<std::string>())("f,file", "input file",
                                                                                     cxxopts::value<std::string>()->default_value(""))(
        "change-id", "id of the change; repeat it to send the same change again", cxxopts::value<std::string>()->default_value(""))(
        "wait-ms", "time limit for attempts, in milliseconds",
        cxxopts::value<int64_t>()->default_value(std::to_string(DefaultWait.count())))("version", "print the version")("h,help",
                                                                                                                       "print this help");
    options.parse_positional({"command"});
    options.positional_help("COMMAND");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help"))
            return printUsage(options, std::cout, 0);
        if (arguments.count("version")) {
            std::cout << "roserailctl " ROSERAIL_VERSION "\n";
            return 0;
        }
        if (!arguments.count("command"))
            return printUsage(options, std::cerr, traits(ErrorKind::BadRequest).exitCode);
        std::vector<std::string> words = arguments["command"].as<std::vector<std::string>>();
        std::string token = arguments["token"].as<std::string>();
        if (arguments.count("token-file")) {
            const Result<std::string> text = readTextFile(arguments["token-file"].as<std::string>());
            if (text.has_error())
                return printError(text.error());
            token = text.value().substr(0, text.value().find_first_of("\r\n"));
        }
        const std::vector<std::string> control
            = arguments.count("control") ? arguments["control"].as<std::vector<std::string>>() : std::vector<std::string>();
        const Invocation invocation{OperatorClient(control, token),
                                    std::vector<std::string>(words.begin() + 1, words.end()),
                                    arguments["file"].as<std::string>(),
                                    arguments["change-id"].as<std::string>(),
                                    token,
                                    monotonicNow() + Millis(arguments["wait-ms"].as<int64_t>())};
        for (const Command &it : Commands) {
            if (it.name != words[0])
                continue;
            const Result<std::string> answer = it.run(invocation);
            if (answer.has_error())
                return printError(answer.error());
            std::cout << answer.value();
            return 0;
        }
        std::cerr << fmt::format("unknown command '{}'; see --help\n", words[0]);
        return traits(ErrorKind::BadRequest).exitCode;
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "; see --help\n";
        return traits(ErrorKind::BadRequest).exitCode;
    }
}
