#include "libnet/meshdriver.h"

#include <memory>
#include <utility>
#include <variant>

#include "libbase/logger.h"
#include "libbase/seededrandom.h"
#include "libnet/systemrandom.h"
#include "libnet/taskqueue.h"

namespace fireflytrestle {

namespace {

// Half of the longest interval that MeshNode::OnTick() permits between calls.
constexpr std::chrono::milliseconds kTickInterval{50};

const char* DocumentName(DocumentKind kind) {
  return kind == DocumentKind::kConfiguration ? "configuration" : "instances";
}

}  // namespace

MeshDriver::MeshDriver(const MeshSettings& settings,
                       const SocketAddress& platform,
                       const Clock& clock,
                       Logger* logger,
                       Callbacks callbacks)
    : m_settings(settings),
      m_clock(clock),
      m_logger(logger),
      m_callbacks(std::move(callbacks)),
      m_node(settings, std::make_unique<SeededRandom>(DrawSeed()), clock.Now()),
      m_transport(
          {[this](LinkId link) { OnLinkOpened(link); },
           [this](const SocketAddress& peer) { return OnLinkAccepted(peer); },
           [this](LinkId link) { OnLinkClosed(link); },
           [this](LinkId link, const MeshMessage& message) {
             OnMessage(link, message);
           }}),
      m_platform(
          platform,
          [this](const PlatformReadResult& result, const std::string& problem) {
            OnPlatformRead(result, problem);
          }),
      m_actions([this](const MeshAction& action) {
        std::visit([this](const auto& each) { Execute(each); }, action);
      }) {
  m_status.lease_since = clock.Now();
}

boost::leaf::result<void> MeshDriver::Start() {
  if (!m_settings.leaf) {
    BOOST_LEAF_CHECK(m_transport.Listen(m_settings.mesh_address));
  }
  m_timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
    Perform([this](TimePoint now, Actions* actions) {
      m_node.OnTick(now, actions);
    });
  });
  m_timer.start(kTickInterval);
  return {};
}

void MeshDriver::Perform(const std::function<void(TimePoint, Actions*)>& call) {
  const TimePoint now = m_clock.Now();
  m_actions.Run([&](Actions* actions) { call(now, actions); });
  RecordLease(now);
}

void MeshDriver::Execute(const OpenLink& action) {
  MeshPeer& peer = m_status.peers[action.link];
  peer.address = action.address;
  peer.outgoing = true;
  peer.since = m_clock.Now();
  m_transport.Open(action.link, action.address);
}

void MeshDriver::Execute(const CloseLink& action) {
  m_status.peers.erase(action.link);
  m_transport.Close(action.link);
}

void MeshDriver::Execute(const SendOnLink& action) {
  m_transport.Send(action.link, action.message);
}

void MeshDriver::Execute(const ReadPlatformDocument& action) {
  m_platform.Read(action);
}

void MeshDriver::Execute(const InstallDocument& action) {
  const bool configuration = action.kind == DocumentKind::kConfiguration;
  DocumentStatus& status = StatusOf(action.kind);
  status.installed = m_clock.Now();
  ++status.installs;
  const ViewVersion version = m_node.version();
  const Revision revision =
      configuration ? version.configuration : version.instances;
  m_logger->Write(LogLevel::kInfo, "document_installed",
                  "installed a newer revision of the document",
                  {{LogKey::kDocument, DocumentName(action.kind)},
                   {LogKey::kRevision, static_cast<std::uint64_t>(revision)}});
  if (!configuration) {
    status.unreadable_entries = m_node.unreadable_instances();
  }
  if (status.unreadable_entries > 0) {
    m_logger->Write(LogLevel::kWarning, "entries_unreadable",
                    std::to_string(status.unreadable_entries) +
                        " malformed entries of the document were skipped",
                    {{LogKey::kDocument, DocumentName(action.kind)}});
  }
  m_callbacks.installed(action.kind);
}

void MeshDriver::OnLinkOpened(LinkId link) {
  MeshPeer& peer = m_status.peers[link];
  peer.open = true;
  peer.since = m_clock.Now();
  Perform([&](TimePoint now, Actions* actions) {
    m_node.OnLinkOpened(link, now, actions);
  });
}

LinkId MeshDriver::OnLinkAccepted(const SocketAddress& address) {
  const TimePoint now = m_clock.Now();
  // The actions are deferred to the next call, because the transport registers
  // the link only after this function has returned its id.
  const LinkId link = m_actions.Defer(
      [&](Actions* actions) { return m_node.OnLinkAccepted(now, actions); });
  MeshPeer& peer = m_status.peers[link];
  peer.address = address;
  peer.open = true;
  peer.since = now;
  CallAfter(&m_timer, {}, [this] { Perform([](TimePoint, Actions*) {}); });
  return link;
}

void MeshDriver::OnLinkClosed(LinkId link) {
  const auto peer = m_status.peers.find(link);
  if (peer != m_status.peers.end()) {
    m_logger->Write(LogLevel::kDebug, "link_closed", "mesh link closed",
                    {{LogKey::kPeer, ToString(peer->second.address)}});
    m_status.peers.erase(peer);
  }
  Perform([&](TimePoint now, Actions* actions) {
    m_node.OnLinkClosed(link, now, actions);
  });
}

void MeshDriver::OnMessage(LinkId link, const MeshMessage& message) {
  Perform([&](TimePoint now, Actions* actions) {
    RecordMessage(link, message, now);
    m_node.OnMessage(link, message, now, actions);
  });
  if (const auto* document = std::get_if<MeshDocument>(&message)) {
    RecordIfRejected(document->kind, document->document);
  }
}

void MeshDriver::OnPlatformRead(const PlatformReadResult& result,
                                const std::string& problem) {
  ++StatusOf(result.kind).reads[static_cast<std::size_t>(result.outcome)];
  if (!problem.empty()) {
    m_logger->Write(LogLevel::kWarning, "platform_read_failed",
                    "reading the document from the platform failed",
                    {{LogKey::kDocument, DocumentName(result.kind)},
                     {LogKey::kError, problem}});
  }
  const bool contact =
      result.outcome == PlatformReadResult::Outcome::kDocument ||
      result.outcome == PlatformReadResult::Outcome::kNotModified;
  Perform([&](TimePoint now, Actions* actions) {
    if (contact && result.kind == DocumentKind::kConfiguration) {
      RecordServiceContact(now);
    }
    m_node.OnPlatformRead(result, now, actions);
  });
  if (result.document) {
    RecordIfRejected(result.kind, *result.document);
  }
}

void MeshDriver::RecordMessage(LinkId link,
                               const MeshMessage& message,
                               TimePoint now) {
  MeshPeer& peer = m_status.peers[link];
  peer.last_message = now;
  if (const auto* hello = std::get_if<MeshHello>(&message)) {
    peer.id = hello->id;
    peer.leaf = hello->leaf;
  } else if (const auto* heartbeat = std::get_if<MeshHeartbeat>(&message)) {
    peer.version = heartbeat->version;
    RecordServiceContact(now - heartbeat->service_contact_age);
  } else if (const auto* answer = std::get_if<MeshHeartbeatAnswer>(&message)) {
    peer.version = answer->version;
    RecordServiceContact(now - answer->service_contact_age);
  }
}

DocumentStatus& MeshDriver::StatusOf(DocumentKind kind) {
  return kind == DocumentKind::kConfiguration ? m_status.configuration
                                              : m_status.instances;
}

void MeshDriver::RecordIfRejected(DocumentKind kind,
                                  const VersionedDocument& document) {
  const ViewVersion version = m_node.version();
  VersionedDocument present;
  if (kind == DocumentKind::kConfiguration) {
    present.revision = version.configuration;
    present.digest = version.configuration_digest;
  } else {
    present.revision = version.instances;
    present.digest = version.instances_digest;
  }
  if (!IsOlder(present, document)) {
    return;
  }
  ++StatusOf(kind).rejects;
  m_logger->Write(
      LogLevel::kError, "document_rejected",
      "rejected a newer, invalid revision of the document; the last valid "
      "one stays in effect",
      {{LogKey::kDocument, DocumentName(kind)},
       {LogKey::kRevision, static_cast<std::uint64_t>(document.revision)}});
}

void MeshDriver::RecordServiceContact(TimePoint contact) {
  m_status.service_contact =
      std::max(contact, m_status.service_contact.value_or(contact));
}

void MeshDriver::RecordLease(TimePoint now) {
  const ViewLease& lease = m_node.lease();
  if (lease.until() != m_lease_until) {
    m_lease_until = lease.until();
    m_callbacks.lease_extended(m_lease_until);
  }
  const bool held = lease.IsHeld(now);
  if (held == m_status.lease_held) {
    return;
  }
  m_status.lease_held = held;
  m_status.lease_since = now;
  m_status.lease_losses += held ? 0 : 1;
  m_logger->Write(held ? LogLevel::kInfo : LogLevel::kWarning, "lease_changed",
                  held ? "view lease obtained"
                       : "view lease expired; all packets are dropped",
                  {{LogKey::kState, held ? "held" : "expired"}});
}

}  // namespace fireflytrestle
