#include <doctest/doctest.h>

#include <map>

#include "libconfig/instancerecord.h"
#include "libmesh/balancerdirectory.h"

namespace fireflytrestle {

TEST_CASE("links stay in the region and watchers change with the revision") {
  // Guards against a partition between regions that breaks all links of a
  // process, against a zone failure that breaks both links of a leaf, and
  // against a few balancers that read the document at every revision.
  constexpr std::uint64_t kBalancers = 60;
  constexpr std::uint64_t kRegions = 5;
  std::vector<InstanceRecord> records;
  std::map<SocketAddress, InstanceRecord> by_address;
  for (std::uint64_t i = 1; i <= kBalancers; ++i) {
    InstanceRecord record;
    record.id = InstanceId(i);
    record.region = std::to_string(i % kRegions);
    record.zone = std::to_string(i % (3 * kRegions));
    record.mesh_address = {0x7f000001, static_cast<std::uint16_t>(i)};
    records.push_back(record);
    by_address[record.mesh_address] = record;
  }
  std::map<std::uint64_t, int> watches;
  constexpr std::uint64_t kRevisions = 40;
  for (std::uint64_t i = 1; i <= 2 * kBalancers; ++i) {
    MeshSettings settings;
    settings.id = InstanceId(i);
    settings.region = std::to_string(i % kRegions);
    settings.leaf = i > kBalancers;
    settings.mesh_address = {0x7f000001, static_cast<std::uint16_t>(i)};
    BalancerDirectory directory(settings);
    directory.Update(records);
    const LinkPreference& near = directory.preferences().front();
    const InstanceRecord& first = by_address[near.ranked[0]];
    const InstanceRecord& second = by_address[near.ranked[1]];
    CHECK(near.link_count == 2);
    CHECK(first.region == settings.region);
    CHECK(second.region == settings.region);
    CHECK((!settings.leaf || first.zone != second.zone));
    for (std::uint64_t revision = 1; revision <= kRevisions; ++revision) {
      watches[i] += directory.IsWatcher(Revision(revision)) ? 1 : 0;
    }
  }
  int total = 0;
  for (const auto& [id, count] : watches) {
    CHECK(count < static_cast<int>(kRevisions) * 3 / 4);
    total += count;
  }
  CHECK(total == static_cast<int>(3 * kRegions * kRevisions));
}

}  // namespace fireflytrestle
