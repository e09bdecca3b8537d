#include "libnet/flownodesettings.h"

#include <algorithm>

#include "libnet/udpsocket.h"

namespace fireflytrestle {

namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr double kMinLinkMegabits = 0.1;
constexpr double kMaxLinkMegabits = 1e6;
/// The send buffer holds what the link carries in 1/10 s. Datagrams that are
/// queued for longer arrive too late: callers retransmit a packet after 200 ms,
/// and agents count as silent after 350 ms.
constexpr std::uint64_t kSendBuffersPerSecond = 10;
/// One batch of datagrams of the largest size.
constexpr std::uint64_t kMinSendBufferBytes =
    UdpSocket::kBatchDatagrams * UdpSocket::kMaxBytes;

constexpr std::uint64_t kMaxLifetimeSeconds = 24ULL * 3600;

}  // namespace

int SendBufferBytes(const FlowNodeSettings& settings) {
  return static_cast<int>(
      std::clamp(settings.link_bytes_per_second / kSendBuffersPerSecond,
                 kMinSendBufferBytes, std::uint64_t{UdpSocket::kBufferBytes}));
}

std::vector<Setting> MakeFlowNodeSettingsTable(FlowNodeSettings* out) {
  return {
      TextSetting("instance", "NAME", "Name of this instance, for log lines",
                  std::nullopt, &out->instance),
      TextSetting("zone", "NAME", "Availability zone of this instance",
                  std::nullopt, &out->zone),
      AddressSetting("admin-address",
                     "TCP address for metrics, state dump and readiness",
                     &out->admin_address),
      AddressSetting("node-address",
                     "UDP address for messages of other processes of the "
                     "system",
                     &out->node_address),
      NumberSetting("flow-lifetime-s",
                    "Age in seconds at which a flow may be forgotten", "60", 1,
                    kMaxLifetimeSeconds,
                    [out](std::uint64_t seconds) {
                      out->flow_lifetime = std::chrono::seconds(seconds);
                    }),
      DecimalSetting(
          "link-mbps", "Rate of the instance's network link in Mbit/s", "1000",
          kMinLinkMegabits, kMaxLinkMegabits,
          [out](double megabits) {
            out->link_bytes_per_second =
                static_cast<std::uint64_t>(megabits * kBytesPerMegabit);
          }),
      ChoiceSetting("log-level", {"debug", "info", "warning", "error"},
                    "Least level of the lines to log", "info", &out->log_level),
  };
}

}  // namespace fireflytrestle
