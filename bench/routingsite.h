#ifndef FIREFLYTRESTLE_BENCH_ROUTINGSITE_H_
#define FIREFLYTRESTLE_BENCH_ROUTINGSITE_H_

#include <cstdint>
#include <vector>

#include "libbase/randomsource.h"
#include "libconfig/configuration.h"
#include "libwire/callermessagecodec.h"
#include "libwire/envelopecodec.h"
#include "libwire/flowidcodec.h"

namespace fireflytrestle {

using Bytes = std::vector<std::uint8_t>;

/// Returns a codec with one fixed key.
inline FlowIdCodec MakeCodec(std::uint8_t key_number = 1) {
  return FlowIdCodec({FlowKey{key_number, {key_number, 2, 3, 4}}});
}

inline SocketAddress AgentAddress(TargetId target) {
  return {0x7F000000U + static_cast<std::uint32_t>(target), 9000};
}

inline TargetSettings MakeTarget(std::uint32_t id, ServiceId service) {
  TargetSettings target;
  target.id = TargetId{id};
  target.service = service;
  target.zone = ZoneId{static_cast<std::uint16_t>(1 + id % 4)};
  target.agent = AgentAddress(target.id);
  target.connections = 2000;
  return target;
}

/// Returns a configuration with targets \p first_id to \p first_id + \p targets
/// - 1 of \p service in zones 1 to 4.
inline Configuration MakeConfiguration(ServiceId service,
                                       std::uint32_t first_id,
                                       std::uint32_t targets) {
  Configuration configuration;
  configuration.revision = Revision{1};
  for (std::uint16_t zone = 1; zone <= 4; ++zone) {
    configuration.zones.push_back({ZoneId{zone}, "", "", false});
  }
  configuration.services.push_back({service, "", {}, {}});
  for (std::uint32_t id = first_id; id < first_id + targets; ++id) {
    configuration.targets.push_back(MakeTarget(id, service));
  }
  return configuration;
}

inline Nonce MakeNonce(RandomSource& random) {
  Nonce nonce{};
  for (std::uint8_t& byte : nonce) {
    byte = static_cast<std::uint8_t>(random.Next());
  }
  return nonce;
}

inline FlowToken MakeToken(const TargetSettings& target, std::uint32_t index) {
  return MakeCodec().Encode({target.zone, target.service, target.id,
                             target.agent, 1, Incarnation{7}, index});
}

inline Bytes EncodePacket(const Envelope& envelope) {
  Bytes bytes(kMaxDatagramBytes + kMaxEnvelopeOverheadBytes);
  bytes.resize(EncodeEnvelope(envelope, bytes));
  return bytes;
}

inline Bytes EncodePacket(Envelope envelope, const CallerMessage& message) {
  Bytes payload(kMaxDatagramBytes);
  payload.resize(EncodeCallerMessage(message, payload));
  envelope.payload = payload;
  return EncodePacket(envelope);
}

/// Returns a packet of a caller, in the form in which the fabric delivers it to
/// a balancer.
inline Bytes FabricPacket(ServiceId service, const CallerMessage& message) {
  Envelope envelope;
  envelope.caller = {0x7F000001U, 5000};
  envelope.service = service;
  return EncodePacket(envelope, message);
}

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BENCH_ROUTINGSITE_H_
