#ifndef FIREFLYTRESTLE_TESTS_FAKES_FLOWCLIENT_H_
#define FIREFLYTRESTLE_TESTS_FAKES_FLOWCLIENT_H_

#include <QElapsedTimer>
#include <QTimer>
#include <QUdpSocket>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libbase/socketaddress.h"
#include "libwire/callermessage.h"

namespace fireflytrestle {

/// \brief One flow of a caller: handshake, requests with retransmission,
/// acknowledgements and keepalive.
class FlowClient : public QObject {
 public:
  /// Callbacks for events of the flow. Each may be empty.
  struct Events {
    std::function<void()> opened;
    /// The flow was refused before any request was sent.
    std::function<void(RefusalReason)> open_refused;
    std::function<void(std::uint32_t sequence, const std::string& answer)>
        answered;
    std::function<void(std::uint32_t event, const std::string& body)> event;
    std::function<void(std::uint32_t sequence, RefusalReason)> refused;
    std::function<void(std::uint32_t sequence)> unknown;
    std::function<void()> handover;
    std::function<void()> reset;
  };

  FlowClient(SocketAddress service, Events events);
  ~FlowClient() override;

  /// Sends a request and returns its sequence number. The flow must be open.
  std::uint32_t SendRequest(RequestKind kind,
                            bool non_idempotent,
                            std::chrono::milliseconds budget,
                            std::uint32_t resume_after,
                            std::vector<std::uint8_t> body);

  void Cancel(std::uint32_t sequence);
  void Close();

  bool is_open() const { return m_token.has_value(); }
  /// Time since the last packet of the flow arrived.
  std::chrono::milliseconds TimeSinceLastPacket() const {
    return std::chrono::milliseconds(m_since_packet.elapsed());
  }
  /// Availability zone of the agent that accepted the flow, read from the flow
  /// token.
  ZoneId zone() const { return m_zone; }
  /// Whether a part of the answer has arrived for this pending request.
  bool HasParts(std::uint32_t sequence) const;

 private:
  struct Pending {
    RequestMessage request;
    std::vector<std::uint8_t> body;
    QElapsedTimer since_start;
    bool responded = false;
    std::uint8_t attempt = 0;
    std::map<std::uint32_t, std::string> parts;
    std::uint32_t next_part = 0;
    /// Number of parts of the answer; 0 until a part that states it arrives.
    std::uint32_t count = 0;
  };

  void OnPackets();
  void OnMessage(const CallerMessage& message);
  void OnAccepted(const AcceptedMessage& message);
  void OnPart(const PartMessage& message);
  void OnFeedPart(Pending* pending, const PartMessage& message);
  void OnAnswerPart(Pending* pending, const PartMessage& message);
  void SendAck(std::uint32_t sequence, const Pending& pending);
  void OnTimer();
  void Send(const CallerMessage& message);

  Events m_events;
  SocketAddress m_service;
  QUdpSocket m_socket;
  QTimer m_timer;
  QElapsedTimer m_since_packet;
  QElapsedTimer m_since_ping;
  Nonce m_nonce{};
  std::optional<FlowToken> m_token;
  ZoneId m_zone{};
  std::uint32_t m_last_sequence = 0;
  std::map<std::uint32_t, Pending> m_pending;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_FLOWCLIENT_H_
