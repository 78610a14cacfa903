// corianderhoist-ctl: the operator's command-line tool. docs/INTERFACE.md lists commands and exit
// codes.
#include "base/duration.h"
#include "base/hash.h"
#include "control/operator_client.h"
#include "control/operator_report.h"
#include "rules/rules_file.h"
#include "wire/certificates.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>

DEFINE_string(settings, "", "file with connection data (JSON)");
DEFINE_uint64(base, 0, "apply: rules version that the file is based on");
DEFINE_string(regions, "", "check: known regions, separated by commas");
DEFINE_string(change_id, "", "send the change with this id again");
DEFINE_string(group, "", "member: a coordinator group of the settings, instead of control");
DEFINE_string(wait, "10s", "time to wait until a change is in force");
DEFINE_string(timeout, "20s", "time to look for a leader of control");
DEFINE_uint32(days, 365, "pki issue: validity in days");

// gflags exits with code 1 on an invalid flag; this hook, which the library still declares in its
// former namespace, allows exit code 2 instead.
namespace google {
extern void (*gflags_exitfunc)(int);
}

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using words = std::vector<std::string>;

constexpr std::string_view kUsage =
    "corianderhoist-ctl [FLAGS] COMMAND\n"
    "  check FILE [--regions a,b]       checks a rules file, without a connection\n"
    "  apply FILE --base VERSION        brings the rules of FILE into force\n"
    "  key give WORKSPACE               makes a key and prints it once\n"
    "  key withdraw KEY_ID              withdraws a key\n"
    "  release FINGERPRINT              lets a blocked request run again\n"
    "  show                             versions in force per region\n"
    "  rules                            prints the rules that control has accepted\n"
    "  dump IP:PORT [SECTION]           prints the state of a process\n"
    "  member list|add NAME IP:PORT|promote NAME|remove NAME  [--group GROUP]\n"
    "  pki init FOLDER | pki issue FOLDER ROLE NAME [--days N]\n"
    "flags: --settings FILE --change_id ID --wait 10s --timeout 20s --help --version\n"
    "exit codes: 0 done or in force, 1 refused, 2 invalid input, 3 version_conflict, 4 pending,\n"
    "  5 not_accepted (nothing was sent), 6 outcome_unknown (send again with --change_id)\n";

constexpr milliseconds kDumpTimeout(10'000);
constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kChangeIdBytes = 16;
constexpr std::size_t kFingerprintDigits = 64;

ctl_exit UsageError(std::string_view text) {
  std::cerr << text << "\n\n" << kUsage;
  return ctl_exit::kInvalidInput;
}

int ToCode(ctl_exit code) {
  return static_cast<int>(code);
}

result<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (!stream.good() && !stream.eof()) {
    return Fail(error_kind::kInvalidRules, "cannot read '" + path + "'");
  }
  return text;
}

std::optional<std::set<std::string>> KnownRegions() {
  if (FLAGS_regions.empty()) {
    return std::nullopt;
  }
  std::set<std::string> regions;
  std::istringstream list(FLAGS_regions);
  for (std::string region; std::getline(list, region, ',');) {
    regions.insert(region);
  }
  return regions;
}

result<rule_set> ReadRules(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  const auto regions = KnownRegions();
  auto parsed = ParseRules(text, regions ? &*regions : nullptr);
  if (const auto* faults = std::get_if<std::vector<rules_fault>>(&parsed)) {
    std::string report = std::to_string(faults->size()) + " fault(s):";
    for (const rules_fault& fault : *faults) {
      report += "\n" + FormatFault(path, fault);
    }
    return Fail(error_kind::kInvalidRules, std::move(report));
  }
  return std::move(std::get<rule_set>(parsed));
}

result<milliseconds> ReadDuration(const std::string& text) {
  BOOST_LEAF_AUTO(duration, ParseDuration(text));
  return std::chrono::duration_cast<milliseconds>(duration);
}

struct connection {
  std::unique_ptr<operator_client> client;
  milliseconds wait{};
};

result<connection> Connect() {
  BOOST_LEAF_AUTO(wait, ReadDuration(FLAGS_wait));
  BOOST_LEAF_AUTO(leader_timeout, ReadDuration(FLAGS_timeout));
  BOOST_LEAF_AUTO(reader, settings_reader::FromFile(FLAGS_settings));
  BOOST_LEAF_AUTO(settings, ReadOperatorSettings(reader));
  BOOST_LEAF_AUTO(identity, tls_identity::Load(settings.tls));
  std::vector<named_endpoint> members = settings.control;
  if (!FLAGS_group.empty()) {
    const auto found = settings.groups.find(FLAGS_group);
    if (found == settings.groups.end()) {
      return Fail(error_kind::kInvalidSettings, "the settings have no group '" + FLAGS_group + "'");
    }
    members = found->second;
  }
  return connection{std::make_unique<operator_client>(identity, members, leader_timeout), wait};
}

// Prints the id before the change is sent, so that an interrupted command can be repeated with it.
change_request NewChange(change_kind kind, milliseconds wait) {
  change_request request;
  request.change_id =
      FLAGS_change_id.empty() ? ToHex(RandomBytes(kChangeIdBytes)) : FLAGS_change_id;
  request.kind = kind;
  request.wait = wait;
  std::cout << "change_id: " << request.change_id << std::endl;
  return request;
}

result<ctl_exit> Check(const words& arguments) {
  BOOST_LEAF_AUTO(rules, ReadRules(arguments[1]));
  std::cout << "valid: " << rules.services.size() << " services, " << rules.workspaces.size()
            << " workspaces, " << rules.routes.size() << " routes\n";
  return ctl_exit::kDone;
}

result<ctl_exit> Apply(const words& arguments) {
  if (gflags::GetCommandLineFlagInfoOrDie("base").is_default) {
    return UsageError("apply needs --base VERSION; 'show' prints it as rules_version");
  }
  BOOST_LEAF_AUTO(rules, ReadRules(arguments[1]));
  BOOST_LEAF_AUTO(connected, Connect());
  change_request request = NewChange(change_kind::kApplyRules, connected.wait);
  const auto fetched = connected.client->FetchConfiguration();
  if (const auto* failure = std::get_if<rpc_failure>(&fetched)) {
    std::cout << "status: not_accepted\n";
    return PrintFailure(*failure, std::cerr);
  }
  rules_difference difference = Difference(std::get<configuration>(fetched).Rules(), rules);
  request.base_version = FLAGS_base;
  request.removed_rules = std::move(difference.removed);
  request.added_rules = std::move(difference.added);
  return PrintChange(connected.client->Send(request), std::cout, std::cerr);
}

result<ctl_exit> GiveKey(const words& arguments) {
  BOOST_LEAF_AUTO(connected, Connect());
  change_request request = NewChange(change_kind::kGiveKey, connected.wait);
  const std::string key = ToHex(RandomBytes(kKeyBytes));
  request.workspace = arguments[2];
  request.key_hash = Sha256(key);
  const send_outcome outcome = connected.client->Send(request);
  const ctl_exit code = PrintChange(outcome, std::cout, std::cerr);
  const std::string own_id = KeyIdOf(request.key_hash);
  if (outcome.status == send_status::kOutcomeUnknown) {
    std::cout << "key_id: " << own_id << "\nkey: " << key << "\n";
  } else if (code == ctl_exit::kDone || code == ctl_exit::kPending) {
    if (outcome.reply.result.key_id == own_id) {
      std::cout << "key: " << key << "\n";
    } else {
      std::cout << "note: the first call with this change id gave this key and printed it\n";
    }
  }
  return code;
}

result<ctl_exit> WithdrawKey(const words& arguments) {
  BOOST_LEAF_AUTO(connected, Connect());
  change_request request = NewChange(change_kind::kWithdrawKey, connected.wait);
  request.key_id = arguments[2];
  return PrintChange(connected.client->Send(request), std::cout, std::cerr);
}

result<ctl_exit> Release(const words& arguments) {
  const QByteArray bytes = QByteArray::fromHex(QByteArray::fromStdString(arguments[1]));
  if (arguments[1].size() != kFingerprintDigits || bytes.size() != qsizetype(digest().size())) {
    return UsageError("a fingerprint has 64 hexadecimal digits");
  }
  BOOST_LEAF_AUTO(connected, Connect());
  change_request request = NewChange(change_kind::kReleaseRequest, connected.wait);
  std::copy(bytes.begin(), bytes.end(), request.fingerprint.begin());
  return PrintChange(connected.client->Send(request), std::cout, std::cerr);
}

result<ctl_exit> Show(const words&) {
  BOOST_LEAF_AUTO(connected, Connect());
  const auto reply = connected.client->Show();
  if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
    return PrintFailure(*failure, std::cerr);
  }
  PrintShow(std::get<show_reply>(reply), std::cout);
  return ctl_exit::kDone;
}

result<ctl_exit> Rules(const words&) {
  BOOST_LEAF_AUTO(connected, Connect());
  const auto reply = connected.client->FetchConfiguration();
  if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
    return PrintFailure(*failure, std::cerr);
  }
  std::cout << CanonicalText(std::get<configuration>(reply).Rules());
  return ctl_exit::kDone;
}

result<ctl_exit> Dump(const words& arguments) {
  BOOST_LEAF_AUTO(address, ParseEndpoint(arguments[1]));
  QString target = QString::fromStdString("http://" + FormatEndpoint(address) + "/state");
  if (arguments.size() > 2) {
    target += "/" + QString::fromStdString(arguments[2]);
  }
  QNetworkAccessManager manager;
  QNetworkRequest request{QUrl(target)};
  request.setTransferTimeout(static_cast<int>(kDumpTimeout.count()));
  const std::unique_ptr<QNetworkReply> reply(manager.get(request));
  QEventLoop loop;
  QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
  loop.exec();
  const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (reply->error() != QNetworkReply::NoError) {
    std::cerr << "cannot read " << target.toStdString() << ": "
              << reply->errorString().toStdString() << "\n";
    return status == 0 ? ctl_exit::kNotAccepted : ctl_exit::kRefused;
  }
  std::cout << reply->readAll().toStdString();
  return ctl_exit::kDone;
}

result<ctl_exit> Member(const words& arguments) {
  const std::string& operation = arguments[1];
  const std::size_t expected = operation == "list" ? 2 : operation == "add" ? 4 : 3;
  if (arguments.size() != expected) {
    return UsageError("member " + operation + " has other arguments");
  }
  BOOST_LEAF_AUTO(connected, Connect());
  if (operation == "list") {
    PrintMembers(connected.client->ListMembers(), std::cout);
    return ctl_exit::kDone;
  }
  member_request request;
  request.operation = operation == "add"       ? member_operation::kAdd
                      : operation == "promote" ? member_operation::kPromote
                                               : member_operation::kRemove;
  request.name = arguments[2];
  request.address = operation == "add" ? arguments[3] : "";
  const auto reply = connected.client->ChangeMembers(request);
  if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
    const ctl_exit code = PrintFailure(*failure, std::cerr);
    const bool is_outcome_unknown =
        code == ctl_exit::kNotAccepted && failure->kind != error_kind::kNotLeader;
    return is_outcome_unknown ? ctl_exit::kOutcomeUnknown : code;
  }
  PrintMembers({{std::get<member_reply>(reply).leader, std::get<member_reply>(reply)}}, std::cout);
  return ctl_exit::kDone;
}

result<ctl_exit> CreatePki(const words& arguments) {
  const std::filesystem::path folder = arguments[2];
  if (std::filesystem::exists(folder / "authority.key")) {
    return Fail(error_kind::kInvalidSettings,
                "'" + folder.string() + "' holds an authority already");
  }
  std::error_code status;
  std::filesystem::create_directories(folder, status);
  constexpr std::chrono::hours kAuthorityValidity(24 * 3650);
  BOOST_LEAF_AUTO(pair, CreateAuthority("corianderhoist fleet",
                                        {std::chrono::seconds(-300), kAuthorityValidity}));
  BOOST_LEAF_CHECK(WriteSecretFile(folder / "authority.key", pair.private_key));
  BOOST_LEAF_CHECK(WriteSecretFile(folder / "authority.pem", pair.certificate));
  std::cout << "authority: " << (folder / "authority.pem").string() << "\n";
  return ctl_exit::kDone;
}

result<ctl_exit> IssuePki(const words& arguments) {
  const std::filesystem::path folder = arguments[2];
  const std::set<std::string> roles = {"control", "coordinator", "entry", "operator"};
  if (!roles.contains(arguments[3])) {
    return UsageError("a role is control, coordinator, entry or operator");
  }
  BOOST_LEAF_AUTO(certificate, ReadFile((folder / "authority.pem").string()));
  BOOST_LEAF_AUTO(key, ReadFile((folder / "authority.key").string()));
  const std::chrono::hours validity(24 * std::int64_t{FLAGS_days});
  BOOST_LEAF_AUTO(pair, IssueCertificate({certificate, key}, {arguments[3], arguments[4]},
                                         {std::chrono::seconds(-300), validity}));
  BOOST_LEAF_CHECK(WriteSecretFile(folder / (arguments[4] + ".key"), pair.private_key));
  BOOST_LEAF_CHECK(WriteSecretFile(folder / (arguments[4] + ".pem"), pair.certificate));
  std::cout << "certificate: " << (folder / (arguments[4] + ".pem")).string() << "\n";
  return ctl_exit::kDone;
}

struct command {
  words prefix;
  std::size_t min_words;
  std::size_t max_words;
  result<ctl_exit> (*run)(const words&);
};

result<ctl_exit> Dispatch(const words& arguments) {
  static const std::vector<command> kCommands = {
      {{"check"}, 2, 2, Check},
      {{"apply"}, 2, 2, Apply},
      {{"key", "give"}, 3, 3, GiveKey},
      {{"key", "withdraw"}, 3, 3, WithdrawKey},
      {{"release"}, 2, 2, Release},
      {{"show"}, 1, 1, Show},
      {{"rules"}, 1, 1, Rules},
      {{"dump"}, 2, 3, Dump},
      {{"member", "list"}, 2, 2, Member},
      {{"member", "add"}, 4, 4, Member},
      {{"member", "promote"}, 3, 3, Member},
      {{"member", "remove"}, 3, 3, Member},
      {{"pki", "init"}, 3, 3, CreatePki},
      {{"pki", "issue"}, 5, 5, IssuePki},
  };
  for (const command& each : kCommands) {
    if (arguments.size() >= each.prefix.size() &&
        std::equal(each.prefix.begin(), each.prefix.end(), arguments.begin())) {
      if (arguments.size() < each.min_words || arguments.size() > each.max_words) {
        return UsageError("wrong number of arguments");
      }
      return each.run(arguments);
    }
  }
  return UsageError(arguments.empty() ? "a command is missing" : "unknown command");
}

ctl_exit Report(const error& failure) {
  std::cerr << AnswerFor(failure.kind).name << ": " << failure.detail << "\n";
  const bool is_input = failure.kind == error_kind::kInvalidSettings ||
                        failure.kind == error_kind::kInvalidRules ||
                        failure.kind == error_kind::kBadRequest;
  return is_input ? ctl_exit::kInvalidInput : ctl_exit::kRefused;
}

}  // namespace
}  // namespace corianderhoist

int main(int argc, char** argv) {
  using namespace corianderhoist;
  gflags::SetVersionString(CORIANDERHOIST_VERSION);
  google::gflags_exitfunc = [](int) { std::exit(ToCode(ctl_exit::kInvalidInput)); };
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true") {
    std::cout << kUsage;
    return ToCode(ctl_exit::kDone);
  }
  if (gflags::GetCommandLineFlagInfoOrDie("version").current_value == "true") {
    std::cout << "corianderhoist-ctl " << CORIANDERHOIST_VERSION << "\n";
    return ToCode(ctl_exit::kDone);
  }
  const QCoreApplication application(argc, argv);
  ConfigureLog("ctl", log_level::kError);
  const words arguments(argv + 1, argv + argc);
  return ToCode(Recover([&] { return Dispatch(arguments); }, Report));
}
