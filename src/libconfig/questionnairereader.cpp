#include "libconfig/questionnairereader.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

#include "libbase/errorcode.h"
#include "libconfig/configurationcodec.h"

namespace fireflytrestle {
namespace {

constexpr std::uint32_t kMaximumSlots = 100'000;
constexpr std::uint32_t kMaximumConnections = 1'000'000;
constexpr std::uint32_t kMaximumFlowsPerSecond = 1'000'000;
constexpr std::uint32_t kMaximumPeak = 1'000'000'000;
constexpr std::uint32_t kMaximumWarmupSeconds =
    std::chrono::duration_cast<std::chrono::seconds>(kMaximumWarmup).count();
// Defaults if a team does not state what a cold start can handle: slow, but
// safe for every target.
constexpr std::uint32_t kDefaultColdSlots = 1;
constexpr std::uint32_t kDefaultColdFlowsPerSecond = 1;
constexpr std::uint32_t kDefaultWarmupSeconds = 30;
// Text form of the address that stands for one that could not be parsed.
constexpr std::string_view kUnparsedAddress = "0.0.0.0:0";
// Limit of reported faults; more of them do not help to correct the file.
constexpr std::size_t kMaximumFaults = 200;

/// Returns \p text quoted for a message, as one line of bounded length.
std::string Quote(std::string_view text) {
  constexpr std::size_t kMaximumLength = 40;
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaximumLength)) {
    quoted += c >= ' ' && c <= '~' ? c : '?';
  }
  return quoted + (text.size() > kMaximumLength ? "...\"" : "\"");
}

/// \brief Collects faults with file, line and question.
class FaultList {
 public:
  explicit FaultList(std::string file) : m_file(std::move(file)) {}

  void Add(const YAML::Mark& mark,
           const std::string& question,
           std::string problem,
           std::string remedy) {
    if (m_faults.size() < kMaximumFaults) {
      const int line = mark.is_null() ? 1 : mark.line + 1;
      m_faults.push_back({m_file + ":" + std::to_string(line) +
                              (question.empty() ? "" : ": " + question),
                          std::move(problem), std::move(remedy)});
    }
  }

  bool empty() const { return m_faults.empty(); }
  std::vector<Fault> Take() { return std::move(m_faults); }

 private:
  std::string m_file;
  std::vector<Fault> m_faults;
};

/// \brief Reports aliases. They are valid YAML but not allowed in a
/// questionnaire, because they can make a small file expand to an unbounded
/// number of answers.
class AliasCheck : public YAML::EventHandler {
 public:
  explicit AliasCheck(FaultList* faults) : m_faults(faults) {}

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    m_faults->Add(mark, "", "it refers to an earlier answer with *",
                  "write the answer out, or use each_target for what all "
                  "targets of a service share");
  }
  void OnScalar(const YAML::Mark&,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark&,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}

 private:
  FaultList* m_faults;
};

/// \brief One group of questions: a YAML mapping whose keys are known
/// questions.
class QuestionGroup {
 public:
  QuestionGroup(const YAML::Node& node,
                std::string name,
                std::initializer_list<const char*> questions,
                FaultList* faults)
      : m_mark(node.Mark()), m_name(std::move(name)), m_faults(faults) {
    if (!node.IsMap()) {
      m_faults->Add(m_mark, m_name, "it is not a group of questions",
                    "write one \"question: answer\" on each line, indented "
                    "alike");
      return;
    }
    m_valid = true;
    for (const auto& each : node) {
      AddAnswer(each.first, each.second, questions);
    }
  }

  bool valid() const { return m_valid; }
  const YAML::Mark& mark() const { return m_mark; }

  /// Returns the answer to \p question; empty if there is none.
  std::optional<YAML::Node> Find(const char* question) const {
    const auto found = m_answers.find(question);
    if (found == m_answers.end() || found->second.IsNull()) {
      return std::nullopt;
    }
    return found->second;
  }

  void Report(const char* question, std::string problem, std::string remedy) {
    const std::optional<YAML::Node> answer = Find(question);
    m_faults->Add(answer ? answer->Mark() : m_mark, QualifiedName(question),
                  std::move(problem), std::move(remedy));
  }

  /// Returns the text of the answer to \p question; reports a fault if there is
  /// no answer or if it is a list or a group.
  std::optional<std::string> ReadText(const char* question,
                                      const char* remedy) {
    const std::optional<YAML::Node> answer = Find(question);
    if (!m_valid) {
      return std::nullopt;
    }
    if (!answer || !answer->IsScalar()) {
      Report(question,
             answer ? "it is not a single value" : "it is not answered",
             remedy);
      return std::nullopt;
    }
    return answer->Scalar();
  }

  std::string ReadName(const char* question) {
    const std::optional<std::string> text = ReadText(question, kNameRule);
    if (text && !IsUsableName(*text)) {
      Report(question, Quote(*text) + " is not usable as a name", kNameRule);
    }
    return text.value_or("");
  }

  SocketAddress ReadAddress(const char* question) {
    constexpr const char* kRemedy =
        "write an IPv4 address and a port, such as 10.1.2.3:8080";
    const std::optional<std::string> text = ReadText(question, kRemedy);
    const std::optional<SocketAddress> address =
        text ? ParseSocketAddress(*text) : std::nullopt;
    if (text && (!address || address->ipv4 == 0)) {
      Report(question, Quote(*text) + " is not an address", kRemedy);
    }
    return address.value_or(SocketAddress{});
  }

  /// Returns whether the answer is yes; reports a fault and returns no value if
  /// it is neither yes nor no.
  std::optional<bool> ReadYesOrNo(const char* question) {
    constexpr const char* kRemedy = "answer yes or no";
    const std::optional<std::string> text = ReadText(question, kRemedy);
    if (text == "yes" || text == "no") {
      return text == "yes";
    }
    if (text) {
      Report(question, Quote(*text) + " is neither yes nor no", kRemedy);
    }
    return std::nullopt;
  }

  /// Returns a number from 1 to \p maximum. If the question is not answered,
  /// returns \p fallback; if that is empty, reports a fault.
  std::uint32_t ReadNumber(const char* question,
                           std::uint32_t maximum,
                           std::optional<std::uint32_t> fallback) {
    if (!m_valid || (fallback && !Find(question))) {
      return fallback.value_or(1);
    }
    const std::string remedy = "write a whole number from 1 to " +
                               std::to_string(maximum) +
                               ", without commas or units";
    const std::optional<std::string> text = ReadText(question, remedy.c_str());
    if (!text) {
      return 1;
    }
    std::uint32_t value = 0;
    const char* end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc() || stop != end || value == 0 || value > maximum) {
      Report(question, Quote(*text) + " is out of range or not a whole number",
             remedy);
      return 1;
    }
    return value;
  }

  /// Returns the items of a list; reports a fault if it is missing or empty.
  std::vector<YAML::Node> ReadList(const char* question, const char* remedy) {
    const std::optional<YAML::Node> answer = Find(question);
    if (!m_valid) {
      return {};
    }
    if (!answer || !answer->IsSequence() || answer->size() == 0) {
      Report(question,
             answer ? "it is not a list with at least one item"
                    : "it is not answered",
             remedy);
      return {};
    }
    std::vector<YAML::Node> items;
    for (const auto& item : *answer) {
      items.push_back(item);
    }
    return items;
  }

 private:
  std::string QualifiedName(const std::string& question) const {
    return m_name.empty() ? question : m_name + ", " + question;
  }

  void AddAnswer(const YAML::Node& key,
                 const YAML::Node& value,
                 std::initializer_list<const char*> questions) {
    const std::string question = key.IsScalar() ? key.Scalar() : "";
    if (std::ranges::find(questions, question) == questions.end()) {
      std::string known;
      for (const char* each : questions) {
        known += known.empty() ? each : std::string(", ") + each;
      }
      m_faults->Add(
          key.Mark(), QualifiedName(Quote(question)),
          "it is not a question of this group",
          "correct the spelling or delete it; the questions are: " + known);
    } else if (!m_answers.emplace(question, value).second) {
      m_faults->Add(key.Mark(), QualifiedName(question), "it is answered twice",
                    "keep one of the answers");
    }
  }

  YAML::Mark m_mark;
  std::string m_name;
  FaultList* m_faults;
  bool m_valid = false;
  std::map<std::string, YAML::Node> m_answers;
};

/// \brief Decodes the parsed file, group by group.
class Reader {
 public:
  explicit Reader(FaultList* faults) : m_faults(faults) {}

  Questionnaire Read(const YAML::Node& root) {
    QuestionGroup group(root, "", {"site", "regions", "services"}, m_faults);
    m_answers.site = group.ReadName("site");
    for (const YAML::Node& region :
         group.ReadList("regions", "list each region with its zones")) {
      ReadRegion(region);
    }
    for (const YAML::Node& service :
         group.ReadList("services", "list each service")) {
      ReadService(service);
    }
    return std::move(m_answers);
  }

 private:
  /// Records the line in which \p value is used; reports a fault if it is used
  /// in an earlier line. Unanswered questions and addresses that cannot be
  /// parsed are reported elsewhere.
  void CheckUnique(const std::string& value,
                   const char* what,
                   QuestionGroup* group,
                   const char* question,
                   std::map<std::string, int>* used) {
    const std::optional<YAML::Node> answer = group->Find(question);
    if (!answer || !answer->IsScalar() || value == kUnparsedAddress) {
      return;
    }
    const auto [position, inserted] =
        used->emplace(value, answer->Mark().line + 1);
    if (!inserted) {
      group->Report(question,
                    Quote(value) + " is used in line " +
                        std::to_string(position->second) + " already",
                    std::string("give each ") + what + " its own");
    }
  }

  void ReadRegion(const YAML::Node& node) {
    QuestionGroup group(node, "region " + std::to_string(++m_regions),
                        {"name", "zones"}, m_faults);
    const std::string name = group.ReadName("name");
    CheckUnique(name, "region a name of", &group, "name", &m_region_names);
    for (const YAML::Node& zone :
         group.ReadList("zones",
                        "list the availability zones of the region, "
                        "such as [merkato, bole]")) {
      const std::string zone_name = zone.IsScalar() ? zone.Scalar() : "";
      const std::string question = "region " + name + ", zones";
      if (!IsUsableName(zone_name)) {
        m_faults->Add(zone.Mark(), question,
                      Quote(zone_name) + " is not usable as a name", kNameRule);
        continue;
      }
      const auto [position, inserted] =
          m_zone_lines.emplace(zone_name, zone.Mark().line + 1);
      if (!inserted) {
        m_faults->Add(zone.Mark(), question,
                      Quote(zone_name) + " is listed in line " +
                          std::to_string(position->second) + " already",
                      "list each availability zone once");
        continue;
      }
      m_answers.zones.push_back({zone_name, name});
    }
  }

  void ReadService(const YAML::Node& node) {
    const std::string number = std::to_string(++m_services);
    std::string title = "service " + number;
    if (node.IsMap() && node["name"] && node["name"].IsScalar() &&
        IsUsableName(node["name"].Scalar())) {
      title = "service " + node["name"].Scalar();
    }
    QuestionGroup group(
        node, title,
        {"name", "address", "requests", "peak", "each_target", "targets"},
        m_faults);
    Questionnaire::Service service;
    service.name = group.ReadName("name");
    CheckUnique(service.name, "service a name of", &group, "name",
                &m_service_names);
    service.address = group.ReadAddress("address");
    CheckUnique(ToString(service.address),
                "service and each agent an address of", &group, "address",
                &m_addresses);
    ReadRequestTypes(&group, title, &service);
    if (const std::optional<YAML::Node> peak = group.Find("peak")) {
      QuestionGroup questions(*peak, title + ", peak",
                              {"open_flows", "requests_at_once"}, m_faults);
      service.peak_flows =
          questions.ReadNumber("open_flows", kMaximumPeak, std::nullopt);
      service.peak_requests =
          questions.ReadNumber("requests_at_once", kMaximumPeak, std::nullopt);
    }
    ReadTargets(&group, title, &service);
    m_answers.services.push_back(std::move(service));
  }

  void ReadRequestTypes(QuestionGroup* service_group,
                        const std::string& title,
                        Questionnaire::Service* service) {
    std::map<std::string, int> names;
    for (const YAML::Node& node : service_group->ReadList(
             "requests", "list each kind of request that callers make")) {
      std::string name = title + ", request ";
      name += std::to_string(service->request_types.size() + 1);
      QuestionGroup group(node, name, {"name", "kind", "may_be_repeated"},
                          m_faults);
      RequestType type;
      type.name = group.ReadName("name");
      CheckUnique(type.name, "request a name of", &group, "name", &names);
      type.kind = ReadKind(&group);
      type.idempotent = group.ReadYesOrNo("may_be_repeated").value_or(false);
      if (type.kind == RequestKind::kFeed && group.Find("may_be_repeated") &&
          !type.idempotent) {
        group.Report("may_be_repeated", "a feed has to be repeatable",
                     "answer yes: a feed is resumed after its last event; use "
                     "kind order for a request that may run only once");
      }
      service->request_types.push_back(std::move(type));
    }
  }

  static RequestKind ReadKind(QuestionGroup* group) {
    constexpr const char* kRemedy = "answer feed, order or document";
    const std::optional<std::string> text = group->ReadText("kind", kRemedy);
    if (text == "feed") {
      return RequestKind::kFeed;
    }
    if (text == "document") {
      return RequestKind::kDocument;
    }
    if (text && text != "order") {
      group->Report("kind", Quote(*text) + " is not a kind of request",
                    kRemedy);
    }
    return RequestKind::kOrder;
  }

  /// Reads the limits of one target. \p defaults holds the limits that its
  /// service states for each target; null when those are read.
  static void ReadLimits(QuestionGroup* group,
                         const Questionnaire::Target* defaults,
                         Questionnaire::Target* target) {
    const auto fallback = [defaults](
                              std::uint32_t Questionnaire::Target::*limit,
                              std::uint32_t otherwise) {
      return defaults != nullptr ? defaults->*limit : otherwise;
    };
    using Target = Questionnaire::Target;
    // 0 means not answered; ReadTarget() reports it.
    target->slots =
        group->ReadNumber("slots", kMaximumSlots, fallback(&Target::slots, 0));
    target->connections = group->ReadNumber("connections", kMaximumConnections,
                                            fallback(&Target::connections, 0));
    target->cold_slots =
        group->ReadNumber("cold_requests_at_once", kMaximumSlots,
                          fallback(&Target::cold_slots, kDefaultColdSlots));
    target->cold_flows_per_second = group->ReadNumber(
        "cold_new_flows_per_second", kMaximumFlowsPerSecond,
        fallback(&Target::cold_flows_per_second, kDefaultColdFlowsPerSecond));
    const std::uint32_t warmup_seconds =
        defaults != nullptr
            ? static_cast<std::uint32_t>(defaults->warmup.count() / 1000)
            : kDefaultWarmupSeconds;
    target->warmup = std::chrono::seconds(group->ReadNumber(
        "warm_up_seconds", kMaximumWarmupSeconds, warmup_seconds));
  }

  void ReadTargets(QuestionGroup* service_group,
                   const std::string& title,
                   Questionnaire::Service* service) {
    Questionnaire::Target defaults;
    const YAML::Node shared = service_group->Find("each_target")
                                  .value_or(YAML::Node(YAML::NodeType::Map));
    QuestionGroup shared_group(shared, title + ", each_target",
                               {"slots", "connections", "cold_requests_at_once",
                                "cold_new_flows_per_second", "warm_up_seconds"},
                               m_faults);
    ReadLimits(&shared_group, nullptr, &defaults);
    for (const YAML::Node& node : service_group->ReadList(
             "targets", "list each target with its zone and agent")) {
      std::string name = title + ", target ";
      name += std::to_string(service->targets.size() + 1);
      QuestionGroup group(
          node, name,
          {"zone", "agent", "slots", "connections", "cold_requests_at_once",
           "cold_new_flows_per_second", "warm_up_seconds"},
          m_faults);
      service->targets.push_back(ReadTarget(&group, defaults));
    }
  }

  Questionnaire::Target ReadTarget(QuestionGroup* group,
                                   const Questionnaire::Target& defaults) {
    Questionnaire::Target target;
    target.zone = group->ReadName("zone");
    if (group->Find("zone") && IsUsableName(target.zone) &&
        !m_zone_lines.contains(target.zone)) {
      std::string known;
      for (const auto& [name, line] : m_zone_lines) {
        known += known.empty() ? name : ", " + name;
      }
      group->Report(
          "zone", Quote(target.zone) + " is not listed in regions",
          "add it to the zones of its region, or use one of: " + known);
    }
    target.agent = group->ReadAddress("agent");
    CheckUnique(ToString(target.agent), "service and each agent an address of",
                group, "agent", &m_addresses);
    ReadLimits(group, &defaults, &target);
    if (!group->valid()) {
      return target;
    }
    for (const auto& [question, value] :
         {std::pair("slots", target.slots),
          std::pair("connections", target.connections)}) {
      if (value == 0) {
        group->Report(question, "it is not answered",
                      "answer it here, or in each_target for all targets of "
                      "the service");
      }
    }
    if (target.slots != 0 && target.cold_slots > target.slots) {
      group->Report("cold_requests_at_once",
                    std::to_string(target.cold_slots) +
                        " is more than the slots, " +
                        std::to_string(target.slots),
                    "lower cold_requests_at_once to at most the slots");
    }
    return target;
  }

  FaultList* m_faults;
  Questionnaire m_answers;
  int m_regions = 0;
  int m_services = 0;
  std::map<std::string, int> m_region_names;
  std::map<std::string, int> m_zone_lines;
  std::map<std::string, int> m_service_names;
  std::map<std::string, int> m_addresses;
};

/// Parses a file with one YAML document; reports a fault if it cannot be parsed
/// or holds a second document, which would be ignored.
std::optional<YAML::Node> Parse(const std::string& text, FaultList* faults) {
  // yaml-cpp reports errors by exceptions, which are converted to faults here.
  try {
    std::istringstream events(text);
    YAML::Parser parser(events);
    AliasCheck check(faults);
    if (parser.HandleNextDocument(check) && parser.HandleNextDocument(check)) {
      faults->Add(YAML::Mark::null_mark(), "",
                  "it holds more than one YAML document",
                  "delete the lines that are only \"---\"");
    }
    if (!faults->empty()) {
      return std::nullopt;
    }
    return YAML::Load(text);
  } catch (const YAML::Exception& error) {
    faults->Add(error.mark, "", "it is not valid YAML: " + error.msg,
                "compare the indentation, colons and quotes with the examples "
                "folder");
    return std::nullopt;
  }
}

}  // namespace

boost::leaf::result<Questionnaire> ReadQuestionnaire(const std::string& file,
                                                     std::string_view text) {
  if (text.size() > kMaximumDocumentBytes) {
    return boost::leaf::new_error(
        ErrorCode::kTooLarge,
        std::vector<Fault>{
            {file, "it is larger than one megabyte",
             "check that it is the questionnaire, or split the site"}});
  }
  FaultList faults(file);
  Questionnaire answers;
  if (const std::optional<YAML::Node> root =
          Parse(std::string(text), &faults)) {
    answers = Reader(&faults).Read(*root);
  }
  if (!faults.empty()) {
    return boost::leaf::new_error(ErrorCode::kInvalidConfiguration,
                                  faults.Take());
  }
  return answers;
}

}  // namespace fireflytrestle
