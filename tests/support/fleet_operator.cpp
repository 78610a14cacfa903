// Operator commands and state queries of the fleet harness.
#include "support/fleet.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace corianderhoist {
namespace {

// Exit codes of corianderhoist-ctl.
constexpr int kInForce = 0;
constexpr int kPending = 4;
constexpr int kNotAccepted = 5;
constexpr int kOutcomeUnknown = 6;

std::string LineValue(const std::string& text, const std::string& name) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + ": ")) {
      return line.substr(name.size() + 2);
    }
  }
  return {};
}

}  // namespace

void fleet::WriteOperatorSettings() {
  QJsonArray control;
  for (const std::string& name : Names("control-")) {
    control.append(QJsonObject{
        {"name", QString::fromStdString(name)},
        {"address", QString::fromStdString(FormatEndpoint(AddressFor("operator-1", name)))}});
  }
  const auto path = [](const std::filesystem::path& file) {
    return QString::fromStdString(file.string());
  };
  const QJsonObject settings{{"tls", QJsonObject{{"certificate", path(operator_files_.certificate)},
                                                 {"private_key", path(operator_files_.private_key)},
                                                 {"authority", path(operator_files_.authority)}}},
                             {"control", control}};
  std::ofstream(Folder() / "operator.json") << QJsonDocument(settings).toJson().toStdString();
}

program_output fleet::Ctl(const std::vector<std::string>& arguments) {
  std::vector<std::string> all = {"--settings=" + (Folder() / "operator.json").string()};
  all.insert(all.end(), arguments.begin(), arguments.end());
  return RunProgram(ProgramPath("corianderhoist-ctl"), all);
}

// A change that is pending or has an unknown outcome is sent again under its id, as operators do.
// The outputs of all calls are concatenated, because only the first one contains the key.
program_output fleet::RunChange(const std::vector<std::string>& arguments) {
  program_output output;
  std::string text;
  std::string change_id;
  WaitUntil([&] {
    std::vector<std::string> all = arguments;
    if (!change_id.empty()) {
      all.push_back("--change_id=" + change_id);
    }
    output = Ctl(all);
    text += output.output;
    if (output.exit_code == kPending || output.exit_code == kOutcomeUnknown) {
      change_id = LineValue(output.output, "change_id");
      return false;
    }
    return output.exit_code != kNotAccepted;
  });
  output.output = text;
  return output;
}

void fleet::ApplyRules(const std::string& rules) {
  const std::filesystem::path file = Folder() / "rules.txt";
  std::ofstream(file) << rules;
  const program_output output =
      RunChange({"apply", file.string(), "--base=" + std::to_string(RulesVersion())});
  if (output.exit_code != kInForce) {
    throw std::runtime_error("rules are not in force: " + output.output + output.errors);
  }
}

fleet::workspace_key fleet::GiveKey(const std::string& workspace) {
  const program_output output = RunChange({"key", "give", workspace});
  workspace_key key{LineValue(output.output, "key_id"), LineValue(output.output, "key")};
  if (output.exit_code != kInForce || key.id.empty() || key.text.empty()) {
    throw std::runtime_error("no key was issued: " + output.output + output.errors);
  }
  return key;
}

program_output fleet::WithdrawKey(const std::string& key_id) {
  return RunChange({"key", "withdraw", key_id});
}

std::string fleet::LeaderOf(const std::string& region) {
  std::string leader;
  WaitUntilOrThrow("region " + region + " has a leader", [&] {
    for (const std::string& name : Names("coordinator-" + region + '-')) {
      const QJsonObject state = Get(Status(name), "/state/coordinator");
      if (state["is_deciding"].toBool()) {
        leader = name;
      }
    }
    return !leader.empty();
  });
  return leader;
}

std::uint64_t fleet::RulesVersion() {
  std::string version;
  WaitUntilOrThrow("control reports the rules version", [&] {
    version = LineValue(Ctl({"show"}).output, "rules_version");
    return !version.empty();
  });
  return std::stoull(version);
}

}  // namespace corianderhoist
