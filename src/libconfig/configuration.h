#ifndef FIREFLYTRESTLE_LIBCONFIG_CONFIGURATION_H_
#define FIREFLYTRESTLE_LIBCONFIG_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/ids.h"
#include "libbase/requestkind.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief One kind of request that callers may send to a service.
struct RequestType {
  std::string name;
  RequestKind kind = RequestKind::kOrder;
  bool idempotent = true;

  bool operator==(const RequestType&) const = default;
};

struct ZoneSettings {
  ZoneId id{};
  std::string name;
  std::string region;
  /// Operators have taken the availability zone out of service.
  bool out = false;

  bool operator==(const ZoneSettings&) const = default;
};

struct ServiceSettings {
  ServiceId id{};
  std::string name;
  /// Address at which callers reach the service.
  SocketAddress address;
  std::vector<RequestType> request_types;
  /// Numbers of open flows and of running requests that operators expect in the
  /// busiest hour; 0 means not stated. Used only to check capacity.
  std::uint32_t peak_flows = 0;
  std::uint32_t peak_requests = 0;

  bool operator==(const ServiceSettings&) const = default;
};

struct TargetSettings {
  TargetId id{};
  ServiceId service{};
  ZoneId zone{};
  /// Address at which balancers reach the agent of the target.
  SocketAddress agent;
  /// Limit of orders and documents that run at the same time.
  std::uint32_t slots = 1;
  /// Limit of flows that are open at the same time.
  std::uint32_t connections = 1;
  /// Limit of requests that run at the same time in a cold start.
  std::uint32_t cold_slots = 1;
  /// Limit of new flows per second in a cold start.
  std::uint32_t cold_flows_per_second = 1;
  /// Time from a cold start to full load.
  std::chrono::milliseconds warmup{30000};

  bool operator==(const TargetSettings&) const = default;
};

/// \brief The lowest ids that no object has had in any revision so far, so that
/// the id of a removed object is never reused. 0 means not recorded.
struct NextIds {
  ZoneId zone{};
  ServiceId service{};
  TargetId target{};

  bool operator==(const NextIds&) const = default;
};

/// \brief One revision of the whole configuration of a site, as set by its
/// operators.
struct Configuration {
  Revision revision{};
  std::vector<ZoneSettings> zones;
  std::vector<ServiceSettings> services;
  std::vector<TargetSettings> targets;
  NextIds next_ids{};

  bool operator==(const Configuration&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_CONFIGURATION_H_
