#include "libnet/processreport.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "libbase/timeformat.h"
#include "libconfig/configuration.h"
#include "libnet/meshdriver.h"
#include "libnet/metricswriter.h"

namespace fireflytrestle {

namespace {

using Json = nlohmann::ordered_json;

// Values of the label "outcome", in the order of PlatformReadResult::Outcome.
constexpr std::array<const char*, DocumentStatus::kReadOutcomeCount>
    kOutcomeNames = {"document", "not_modified", "unreachable", "invalid"};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string Hexadecimal(std::uint64_t number) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(number >> static_cast<unsigned>(shift)) & 0xFU];
  }
  return text;
}

void WriteDocumentMetrics(const std::string& document,
                          Revision revision,
                          const DocumentStatus& status,
                          MetricsWriter* metrics) {
  metrics->Gauge("document_revision", "Revision in effect",
                 static_cast<double>(revision), {{"document", document}});
  metrics->Counter(
      "document_installs_total", "Newer revisions that came into effect",
      static_cast<double>(status.installs), {{"document", document}});
  metrics->Counter("document_rejects_total",
                   "Newer revisions that are not valid and were not accepted",
                   static_cast<double>(status.rejects),
                   {{"document", document}});
  metrics->Gauge("document_unreadable_entries",
                 "Malformed entries of the revision in effect, which are not "
                 "used",
                 static_cast<double>(status.unreadable_entries),
                 {{"document", document}});
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
    metrics->Counter("platform_reads_total",
                     "Own reads of the platform by outcome",
                     static_cast<double>(status.reads[i]),
                     {{"document", document}, {"outcome", kOutcomeNames[i]}});
  }
}

}  // namespace

ProcessReport::ProcessReport(std::string program,
                             std::string version,
                             const ProcessSettings& settings,
                             const MeshDriver& mesh,
                             TimePoint now)
    : m_program(std::move(program)),
      m_version(std::move(version)),
      m_settings(settings),
      m_mesh(mesh),
      m_started(now) {}

void ProcessReport::RecordConfiguration(TimePoint now) {
  for (const ZoneSettings& zone : m_mesh.node().configuration().zones) {
    m_zones_out.Record(zone.id, zone.out, now);
  }
}

std::string ProcessReport::ReasonNotReady(bool stopping, TimePoint now) const {
  if (stopping) {
    return "the process is stopping";
  }
  if (m_mesh.node().version().configuration == Revision{}) {
    return "no configuration has been read";
  }
  if (!m_mesh.node().lease().IsHeld(now)) {
    return "the view is not confirmed";
  }
  return {};
}

std::string ProcessReport::ZoneName(ZoneId zone) const {
  for (const ZoneSettings& each : m_mesh.node().configuration().zones) {
    if (each.id == zone) {
      return each.name;
    }
  }
  return std::to_string(static_cast<std::uint16_t>(zone));
}

std::string ProcessReport::FormatWallTime(TimePoint time, TimePoint now) {
  return FormatTime(std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now() - (now - time)));
}

void ProcessReport::WriteMetrics(bool stopping,
                                 TimePoint now,
                                 MetricsWriter* metrics) const {
  metrics->Gauge(
      "process_info", "Identity of the process; the value is always 1", 1,
      {{"program", m_program},
       {"version", m_version},
       {"instance_id",
        std::to_string(static_cast<std::uint64_t>(m_settings.instance_id))},
       {"region", m_settings.region},
       {"zone", m_settings.zone}});
  metrics->Gauge("uptime_seconds", "Time since the start of the process",
                 Seconds(now - m_started));
  metrics->Gauge("ready", "1 while the process serves",
                 ReasonNotReady(stopping, now).empty() ? 1 : 0);
  metrics->Gauge("stopping", "1 during the graceful stop", stopping ? 1 : 0);
  WriteViewMetrics(now, metrics);
  WriteMeshMetrics(metrics);
}

void ProcessReport::WriteViewMetrics(TimePoint now,
                                     MetricsWriter* metrics) const {
  const MeshStatus& status = m_mesh.status();
  const ViewVersion version = m_mesh.node().version();
  WriteDocumentMetrics("configuration", version.configuration,
                       status.configuration, metrics);
  WriteDocumentMetrics("instances", version.instances, status.instances,
                       metrics);
  const ViewLease& lease = m_mesh.node().lease();
  metrics->Gauge("view_lease_held", "1 while the view is confirmed",
                 lease.IsHeld(now) ? 1 : 0);
  metrics->Counter("view_lease_losses_total",
                   "Times that the view lease expired",
                   static_cast<double>(status.lease_losses));
  const TimePoint confirmed = lease.until() == TimePoint{}
                                  ? m_started
                                  : lease.until() - kViewLeaseDuration;
  metrics->Gauge("view_age_seconds",
                 "Time since the view was confirmed, or since the start",
                 Seconds(now - confirmed));
  metrics->Gauge("service_contact_age_seconds",
                 "Time since the last contact of any process with the "
                 "configuration service, or since the start",
                 Seconds(now - status.service_contact.value_or(m_started)));
  for (const ZoneSettings& zone : m_mesh.node().configuration().zones) {
    metrics->Gauge("zone_out", "1 while the availability zone is declared out",
                   zone.out ? 1 : 0, {{"zone", zone.name}});
  }
}

void ProcessReport::WriteMeshMetrics(MetricsWriter* metrics) const {
  std::map<std::string, int> links = {
      {"accepted", 0}, {"leaf", 0}, {"opened", 0}, {"opening", 0}};
  for (const auto& [id, peer] : m_mesh.status().peers) {
    const char* kind = peer.leaf ? "leaf" : "accepted";
    if (peer.outgoing) {
      kind = peer.open ? "opened" : "opening";
    }
    ++links[kind];
  }
  for (const auto& [kind, count] : links) {
    metrics->Gauge("mesh_links", "Links to other processes", count,
                   {{"kind", kind}});
  }
  const MeshTransport::Traffic& traffic = m_mesh.traffic();
  const auto add = [&](const char* name, const char* help, const char* label,
                       std::uint64_t value) {
    metrics->Counter(name, help, static_cast<double>(value),
                     {{"direction", label}});
  };
  add("mesh_messages_total", "Mesh messages", "in", traffic.messages_received);
  add("mesh_messages_total", "Mesh messages", "out", traffic.messages_sent);
  add("mesh_bytes_total", "Bytes of mesh messages", "in",
      traffic.bytes_received);
  add("mesh_bytes_total", "Bytes of mesh messages", "out", traffic.bytes_sent);
  metrics->Counter("mesh_malformed_total",
                   "Frames that are no mesh message; each closed its link",
                   static_cast<double>(traffic.malformed));
}

nlohmann::ordered_json ProcessReport::State(bool stopping, TimePoint now) {
  const std::string reason = ReasonNotReady(stopping, now);
  return {{"program", m_program},
          {"version", m_version},
          {"instance_id", static_cast<std::uint64_t>(m_settings.instance_id)},
          {"region", m_settings.region},
          {"zone", m_settings.zone},
          {"time", FormatWallTime(now, now)},
          {"started", FormatWallTime(m_started, now)},
          {"ready", reason.empty()},
          {"not_ready_reason", reason},
          {"revision",
           static_cast<std::uint64_t>(m_mesh.node().version().configuration)},
          {"stopping", stopping},
          {"view", ViewState(now)},
          {"zones", ZoneState(now)},
          {"peers", PeerState(now)}};
}

nlohmann::ordered_json ProcessReport::ViewState(TimePoint now) const {
  const MeshStatus& status = m_mesh.status();
  const ViewVersion version = m_mesh.node().version();
  const auto document = [&](Revision revision, std::uint64_t digest,
                            const DocumentStatus& each) {
    return Json{
        {"revision", static_cast<std::uint64_t>(revision)},
        {"digest", Hexadecimal(digest)},
        {"since", each.installs > 0 ? Json(FormatWallTime(each.installed, now))
                                    : Json()}};
  };
  return {{"configuration",
           document(version.configuration, version.configuration_digest,
                    status.configuration)},
          {"instances", document(version.instances, version.instances_digest,
                                 status.instances)},
          {"lease",
           {{"held", m_mesh.node().lease().IsHeld(now)},
            {"since", FormatWallTime(status.lease_since, now)}}},
          {"service_contact",
           status.service_contact
               ? Json(FormatWallTime(*status.service_contact, now))
               : Json()}};
}

nlohmann::ordered_json ProcessReport::ZoneState(TimePoint now) {
  Json zones = Json::array();
  for (const ZoneSettings& zone : m_mesh.node().configuration().zones) {
    zones.push_back(
        {{"id", static_cast<std::uint16_t>(zone.id)},
         {"name", zone.name},
         {"region", zone.region},
         {"out", zone.out},
         {"since",
          FormatWallTime(m_zones_out.Record(zone.id, zone.out, now), now)}});
  }
  return zones;
}

nlohmann::ordered_json ProcessReport::PeerState(TimePoint now) const {
  Json peers = Json::array();
  for (const auto& [id, peer] : m_mesh.status().peers) {
    peers.push_back(
        {{"address", ToString(peer.address)},
         {"instance_id", static_cast<std::uint64_t>(peer.id)},
         {"leaf", peer.leaf},
         {"outgoing", peer.outgoing},
         {"open", peer.open},
         {"since", FormatWallTime(peer.since, now)},
         {"last_message", peer.last_message == TimePoint{}
                              ? Json()
                              : Json(FormatWallTime(peer.last_message, now))},
         {"configuration_revision",
          static_cast<std::uint64_t>(peer.version.configuration)},
         {"instances_revision",
          static_cast<std::uint64_t>(peer.version.instances)}});
  }
  return peers;
}

}  // namespace fireflytrestle
