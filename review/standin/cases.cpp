#include "cases.h"

#include <signal.h>

#include <algorithm>
#include <cstdio>

#include "site.h"

namespace standin {

namespace {

constexpr std::uint16_t kFeedPort = 443;
constexpr std::uint16_t kOrderPort = 8080;
constexpr std::uint16_t kSheetPort = 8443;
constexpr double kDrainMs = 3000;
constexpr int kCouldNotRun = 2;

struct RouteText {
  std::uint16_t port;
  std::string kind;
  // One service, or the weight of each.
  std::string service;
  int counter_weight = 0;
  int ledger_weight = 0;
};

std::string Backends(const RouteText& route) {
  if (!route.service.empty()) {
    return R"("service":")" + route.service + "\"";
  }
  return R"("backends":[{"service":"counter","weight":)" +
         std::to_string(route.counter_weight) +
         R"(},{"service":"ledger","weight":)" +
         std::to_string(route.ledger_weight) + "}]";
}

// A configuration as the operator writes it, with the services of the site.
std::string Configuration(int version,
                          const std::vector<RouteText>& routes,
                          double cold_per_s = 0) {
  std::string text =
      R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (const RouteText& each : routes) {
    text += (each.port == routes.front().port ? "" : ",") +
            std::string(R"({"name":"r-)") + std::to_string(each.port) +
            R"(","host":"198.18.0.1","prefix":"/)" + std::to_string(each.port) +
            R"(/","kind":")" + each.kind +
            R"(","timeout_ms":1000,"slo_ms":150,"priority":1,)" +
            Backends(each) + R"(,"max_attempts":2})";
  }
  text += R"(],"services":[)";
  for (const char* name : {"counter", "ledger"}) {
    text += std::string(name == std::string("counter") ? "" : ",") +
            R"({"name":")" + name +
            R"(","health_path":"/health","max_conns":2000,"protocol":"h1",)"
            R"("tls":false,"cold_s":2.0,"cold_per_s":)" +
            std::to_string(cold_per_s) + "}";
  }
  return text + R"(],"limits":{"max_header_bytes":16384,)"
                R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
                R"("idle_timeout_ms":15000}})";
}

const std::vector<RouteText> kRoutes = {{kFeedPort, "safe", "counter"},
                                        {kOrderPort, "unsafe", "counter"},
                                        {kSheetPort, "download", "ledger"}};

// FLOW (a): counts resets of the system's own on flows that a live target
// holds.
void CheckResets(Site* site) {
  for (const auto& each : site->clients) {
    each->on_reset = [site](const Flow& flow, std::uint32_t ack,
                            const Address& sender, const Packet& packet) {
      const int holder = site->Holder(flow, ack);
      if (packet.sum == 0 && holder >= 0) {
        site->record.Broken(
            "FLOW: " + Text(sender) + " resets " + Text(flow) + ", which " +
            Text(site->targets[static_cast<std::size_t>(holder)]->address) +
            " holds open");
      }
    };
  }
}

void StartFeeds(Site* site, int in_each_zone) {
  for (const auto& each : site->clients) {
    for (int i = 0; i < in_each_zone; ++i) {
      each->Start({kRouteIp, kFeedPort}, true);
    }
  }
}

void StopAndStart(Site* site, Process* process) {
  site->record.Write("SIGTERM to " + process->name);
  site->Signal(process, SIGTERM);
  for (const double end = Now() + 8000; process->pid > 0 && Now() < end;) {
    site->Run(20);
  }
  site->Run(1000);
  site->Spawn(process);
}

int Answered(const Site& site) {
  int answered = 0;
  for (const auto& each : site.clients) {
    answered += each->answered;
  }
  return answered;
}

int Finish(Site* site) {
  int failed = 0;
  for (const auto& each : site->clients) {
    failed += each->failed;
  }
  site->record.Write("answered " + std::to_string(Answered(*site)) +
                     ", failed " + std::to_string(failed) + ", broken " +
                     std::to_string(site->record.broken()));
  if (Answered(*site) == 0) {
    return kCouldNotRun;
  }
  return site->record.broken() > 0 ? 1 : 0;
}

const std::vector<Site::Member> kTwoZones = {
    {"merkato", ""},     {"bole", ""},           {"merkato", "counter"},
    {"bole", "counter"}, {"merkato", "counter"}, {"merkato", "ledger"},
    {"bole", "ledger"}};

// An entry of another writer names a live target under a service that no
// configuration names.
int ForeignService(const std::string& folder, const std::string& work) {
  Site site(folder, work, kTwoZones);
  site.MakeCommands();
  site.store->Put("op/config", Configuration(7, kRoutes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  CheckResets(&site);
  StartFeeds(&site, 9);
  site.Run(5000);
  if (site.trouble) {
    std::string entry = site.Entry(0, "ready");
    entry.replace(entry.find("counter"), 7, "counter-2025");
    site.store->Put("servers/i-2025-0", entry);
    site.record.Write("another writer puts servers/i-2025-0 " + entry);
  }
  site.Run(8000);
  return Finish(&site);
}

// An entry of another writer, with fields missing, names a target that drains.
int ForeignFields(const std::string& folder, const std::string& work) {
  Site site(folder, work, kTwoZones);
  site.MakeCommands();
  site.store->Put("op/config", Configuration(7, kRoutes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  StartFeeds(&site, 4);
  double drained = 0;
  site.targets[0]->on_opening = [&](const Flow& flow) {
    if (drained > 0 && Now() - drained > kDrainMs) {
      site.record.Broken("DRAIN: " + Text(flow) + " reaches " +
                         Text(site.targets[0]->address) + " " +
                         std::to_string(static_cast<int>(Now() - drained)) +
                         " ms after the ack of draining");
    }
  };
  double next = 0;
  site.on_turn = [&] {
    if (Now() >= next) {
      next = Now() + 50;
      for (const auto& each : site.clients) {
        each->Start({kRouteIp, kOrderPort}, false);
      }
    }
  };
  site.Run(3000);
  site.targets[0]->draining = true;
  site.PutEntry(0, "draining");
  drained = Now();
  site.record.Write("the target " + Text(site.targets[0]->address) +
                    " reports draining; the store has acknowledged it");
  site.Run(1000);
  if (site.trouble) {
    std::string entry = site.Entry(0, "ready");
    const std::string version = R"("version":"v1",)";
    entry.erase(entry.find(version), version.size());
    site.store->Put("servers/i-2025-0", entry);
    site.record.Write("another writer puts servers/i-2025-0 " + entry);
  }
  site.Run(5000);
  // The target leaves; what it took too late is lost with it.
  site.record.Write("the target " + Text(site.targets[0]->address) +
                    " exits and its own entry is removed");
  site.targets[0]->Exit();
  site.store->Remove(site.Key(0));
  site.Run(4000);
  return Finish(&site);
}

// A configuration changes the weights of a route's services, so that one of
// them gets no new flows; then the only balancer of a zone is stopped as
// planned.
int ChangedWeights(const std::string& folder, const std::string& work) {
  Site site(folder, work, kTwoZones);
  site.MakeCommands();
  std::vector<RouteText> routes = kRoutes;
  routes[0] = {kFeedPort, "safe", "", 50, 50};
  site.store->Put("op/config", Configuration(7, routes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  CheckResets(&site);
  StartFeeds(&site, 8);
  site.Run(5000);
  if (site.trouble) {
    routes[0] = {kFeedPort, "safe", "", 100, 0};
  }
  site.store->Put("op/config", Configuration(11, routes));
  site.record.Write("the operator puts version 11: " + Backends(routes[0]));
  site.Run(5000);
  Process* front = site.Find("front-merkato-0");
  StopAndStart(&site, front);
  site.Run(6000);
  return Finish(&site);
}

// Targets leave while the balancers are stopped and started in turn. The
// service has more targets than a balancer asks for reports.
int LeavingTarget(const std::string& folder, const std::string& work) {
  constexpr std::size_t kLeaving = 3;
  std::vector<Site::Member> members = {{"merkato", ""}, {"bole", ""}};
  for (int i = 0; i < 24; ++i) {
    members.push_back({i % 2 == 0 ? "merkato" : "bole", "counter"});
  }
  Site site(folder, work, members);
  site.MakeCommands();
  site.store->Put("op/config", Configuration(7, kRoutes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  CheckResets(&site);
  // Feeds from bole; each carries a request every 7.5 s.
  for (int i = 0; i < 72; ++i) {
    site.clients[0]->Start({kRouteIp, kFeedPort}, true, 7500);
  }
  site.Run(2000);
  for (std::size_t i = 0; i < kLeaving; ++i) {
    site.targets[i]->draining = true;
    site.PutEntry(i, "draining");
    site.record.Write("the target " + Text(site.targets[i]->address) +
                      " reports draining");
  }
  const double drained = Now();
  bool removed = false;
  site.on_turn = [&] {
    if (!removed && Now() - drained > kDrainMs + 500) {
      removed = true;
      for (std::size_t i = 0; i < kLeaving; ++i) {
        site.store->Remove(site.Key(i));
      }
      site.record.Write("their entries are removed; they still serve");
    }
  };
  site.Run(1000);
  if (site.trouble) {
    StopAndStart(&site, site.Find("front-merkato-0"));
    site.Run(300);
    StopAndStart(&site, site.Find("front-bole-1"));
  }
  site.Run(8000 - (Now() - drained));
  for (std::size_t i = 0; i < kLeaving; ++i) {
    site.targets[i]->Exit();
  }
  site.record.Write("the targets exit");
  site.Run(1000);
  return Finish(&site);
}

// The balancers are stopped and started in turn, then nodes beside targets. The
// service has more targets than a balancer asks for reports.
int RollingAgents(const std::string& folder, const std::string& work) {
  constexpr std::size_t kTargets = 48;
  constexpr std::size_t kRestarted = 5;
  constexpr double kGapMs = 1300;
  constexpr double kRestartMs = 1000;
  std::vector<Site::Member> members(2, {"merkato", ""});
  members.insert(members.end(), kTargets, {"merkato", "counter"});
  Site site(folder, work, members);
  site.MakeCommands();
  site.store->Put("op/config", Configuration(7, kRoutes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  CheckResets(&site);
  for (std::size_t i = 0; i < 4 * kTargets; ++i) {
    site.clients[0]->Start({kRouteIp, kFeedPort}, true, 14000);
  }
  site.Run(1000);
  StopAndStart(&site, site.Find("front-merkato-0"));
  site.Run(700);
  StopAndStart(&site, site.Find("front-merkato-1"));
  site.Run(700);
  // Nodes beside targets that hold flows, spread over all of these.
  std::vector<std::size_t> used;
  for (std::size_t i = 0; i < kTargets; ++i) {
    if (site.targets[i]->OpenFlows().size() >= 3) {
      used.push_back(i);
    }
  }
  if (used.size() < kRestarted) {
    return kCouldNotRun;
  }
  const auto restarted = [&](std::size_t i) {
    return used[i * used.size() / kRestarted];
  };
  const double begin = Now();
  std::vector<double> ended(kRestarted, 0);
  std::vector<int> stage(kRestarted, 0);
  site.on_turn = [&] {
    for (std::size_t i = 0; i < kRestarted; ++i) {
      Process* side = site.Find("side-merkato-" + std::to_string(restarted(i)));
      const double due = begin + kGapMs * static_cast<double>(i);
      if (stage[i] == 0 && Now() >= due) {
        stage[i] = 1;
        if (site.trouble) {
          site.record.Write("SIGTERM to " + side->name);
          site.Signal(side, SIGTERM);
        }
      } else if (stage[i] == 1 &&
                 (side->pid == 0 || (!site.trouble && Now() >= due + 1500))) {
        stage[i] = 2;
        ended[i] = Now();
        for (const Flow& flow : site.targets[restarted(i)]->OpenFlows()) {
          site.clients[0]->SendNow(flow);
        }
      } else if (stage[i] == 2 && Now() >= ended[i] + kRestartMs) {
        stage[i] = 3;
        if (site.trouble) {
          site.Spawn(side);
        }
      }
    }
  };
  site.Run(kGapMs * kRestarted + 6000);
  return Finish(&site);
}

// Routes that see no traffic, so that a configuration fits into no datagram.
std::vector<RouteText> WithIdleRoutes(std::vector<RouteText> routes) {
  for (std::uint16_t port = 10000; port < 10040; ++port) {
    routes.push_back({port, "safe", "ledger"});
  }
  return routes;
}

constexpr std::uint16_t kNewPort = 9443;
constexpr double kPropagationMs = 3000;

// The readers of the operator's items are cut off from the store at the moment
// of a change that adds a route. Flows on it go to all other balancers.
int CutReaders(const std::string& folder, const std::string& work) {
  std::vector<Site::Member> members;
  for (int i = 0; i < 6; ++i) {
    members.push_back({i % 2 == 0 ? "merkato" : "bole", ""});
  }
  members.insert(members.end(), {{"merkato", "counter"},
                                 {"bole", "counter"},
                                 {"merkato", "ledger"},
                                 {"bole", "ledger"}});
  Site site(folder, work, members);
  site.MakeCommands();
  std::vector<RouteText> routes = WithIdleRoutes(kRoutes);
  site.store->Put("op/config", Configuration(7, routes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  StartFeeds(&site, 4);
  Clients prober(site.Ip(6, 0), "prober", &site.record);
  std::vector<const Process*> others;
  std::map<Flow, double> sent;
  prober.route = [&](const Flow& flow) -> std::optional<Address> {
    sent.try_emplace(flow, Now());
    return Address{others[flow.client.port % others.size()]->ip, kPacketPort};
  };
  double ack = 0;
  prober.on_refused = [&](const Flow& flow, const Packet& packet) {
    if (packet.sum == 0 && sent[flow] - ack > kPropagationMs) {
      site.record.Broken("CONFIG: " + Text(flow) + ", sent " +
                         std::to_string(static_cast<int>(sent[flow] - ack)) +
                         " ms after the ack, is refused");
    }
  };
  for (int round = 0; round < 3; ++round) {
    site.on_turn = [] {};
    site.Run(7000 + 310 * round);
    const auto readers = site.store->Watchers("op/");
    others.clear();
    std::size_t number = 0;
    for (const Process& each : site.processes) {
      if (Site::IsBalancer(each)) {
        if (std::find(readers.begin(), readers.end(), number) ==
            readers.end()) {
          others.push_back(&each);
        }
        ++number;
      }
    }
    if (others.empty()) {
      return kCouldNotRun;
    }
    if (site.trouble) {
      for (const std::size_t reader : readers) {
        site.store->SetSilent(reader, true);
        site.record.Write("balancer " + std::to_string(reader) +
                          " is cut off from the store");
      }
    }
    routes.push_back(
        {static_cast<std::uint16_t>(kNewPort + round), "safe", "counter"});
    site.store->Put("op/config", Configuration(11 + 4 * round, routes));
    ack = Now();
    site.record.Write("the operator adds a route");
    double next = 0;
    site.on_turn = [&] {
      prober.Run();
      if (Now() >= next) {
        next = Now() + 50;
        for (std::size_t i = 0; i < others.size(); ++i) {
          prober.Start({kRouteIp, static_cast<std::uint16_t>(kNewPort + round)},
                       false);
        }
      }
    };
    site.Run(4000);
    for (const std::size_t reader : readers) {
      site.store->SetSilent(reader, false);
    }
  }
  return Finish(&site);
}

// Large configurations come in quick succession to balancers whose links bear
// 10 Mbit/s. The last one adds a route.
int ConfigurationStorm(const std::string& folder, const std::string& work) {
  constexpr int kVersions = 25;
  constexpr double kGapMs = 60;
  constexpr double kLinkBytesPerMs = 1250;
  Site site(folder, work, kTwoZones);
  site.MakeCommands();
  std::vector<RouteText> routes = kRoutes;
  for (std::uint16_t port = 10000; port < 11400; ++port) {
    routes.push_back({port, "safe", "ledger"});
  }
  int version = 7;
  site.store->Put("op/config", Configuration(version, routes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  StartFeeds(&site, 4);
  site.Run(3000);
  site.store->bytes_per_ms = kLinkBytesPerMs;
  if (site.trouble) {
    for (int i = 0; i < kVersions; ++i) {
      site.store->Put("op/config", Configuration(version += 2, routes));
      site.Run(kGapMs);
    }
  }
  routes.push_back({kNewPort, "safe", "counter"});
  const std::string last = Configuration(version += 2, routes);
  site.store->Put("op/config", last);
  const double ack = Now();
  site.record.Write("the operator adds a route; " +
                    std::to_string(last.size()) + " bytes");
  std::map<Flow, double> sent;
  double next = 0;
  for (const auto& each : site.clients) {
    each->on_refused = [&](const Flow& flow, const Packet& packet) {
      if (packet.sum == 0 && sent[flow] - ack > kPropagationMs) {
        site.record.Broken("CONFIG: " + Text(flow) + ", sent " +
                           std::to_string(static_cast<int>(sent[flow] - ack)) +
                           " ms after the ack, is refused");
      }
    };
    each->route = [&, zone = each->zone](const Flow& flow) {
      sent.try_emplace(flow, Now());
      return site.Route(zone, flow);
    };
  }
  site.on_turn = [&] {
    if (Now() >= next) {
      next = Now() + 50;
      for (const auto& each : site.clients) {
        each->Start({kRouteIp, kNewPort}, false);
      }
    }
  };
  site.Run(9000);
  return Finish(&site);
}

// A target falls silent for good; its address goes to a target of another
// service. The node beside it is replaced as well, or was paused and is still
// there when it wakes.
int ReuseAddress(const std::string& folder,
                 const std::string& work,
                 bool paused) {
  constexpr double kReuseAfterMs = 2000;
  Site site(folder, work, kTwoZones);
  site.MakeCommands();
  site.store->Put("op/config", Configuration(7, kRoutes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  double next = 0;
  site.on_turn = [&] {
    if (Now() >= next) {
      next = Now() + 10;
      for (const auto& each : site.clients) {
        each->Start({kRouteIp, kOrderPort}, false);
      }
    }
  };
  site.Run(2000);
  Process* side = site.Find("side-merkato-0");
  site.record.Write("the target " + Text(site.targets[0]->address) +
                    " falls silent");
  site.targets[0]->Exit();
  if (paused && site.trouble) {
    site.Signal(side, SIGSTOP);
  }
  site.Run(kReuseAfterMs);
  if (!paused) {
    site.Signal(side, SIGKILL);
    for (const double end = Now() + 2000; side->pid > 0 && Now() < end;) {
      site.Run(1);
    }
  }
  if (!site.Reuse(0, "ledger")) {
    return kCouldNotRun;
  }
  site.targets[0]->on_opening = [&](const Flow& flow) {
    if (flow.route.port != kSheetPort) {
      site.record.Broken("ROUTE: " + Text(flow) + " reaches " +
                         Text(site.targets[0]->address) + " of ledger");
    }
  };
  if (paused) {
    site.Signal(side, SIGCONT);
  } else {
    site.Spawn(side);
  }
  site.store->Remove(site.Key(0));
  std::string entry = site.Entry(0, "ready");
  entry.replace(entry.find("\"born\":") + 7, 13, "1790000900000");
  site.store->Put("servers/i-reused", entry);
  site.record.Write("its address goes to a target of ledger");
  site.Run(4000);
  return Finish(&site);
}

int ReusedAddress(const std::string& folder, const std::string& work) {
  return ReuseAddress(folder, work, false);
}

int PausedAgent(const std::string& folder, const std::string& work) {
  return ReuseAddress(folder, work, true);
}

// A configuration adds a route. Flows on it open at a balancer that has it, and
// their next packets come through one that has not.
int NewRoute(const std::string& folder, const std::string& work) {
  std::vector<Site::Member> members;
  for (int i = 0; i < 6; ++i) {
    members.push_back({i % 2 == 0 ? "merkato" : "bole", ""});
  }
  members.insert(members.end(), {{"merkato", "counter"}, {"bole", "counter"}});
  Site site(folder, work, members);
  site.MakeCommands();
  std::vector<RouteText> routes = WithIdleRoutes(kRoutes);
  site.store->Put("op/config", Configuration(7, routes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  StartFeeds(&site, 4);
  Clients prober(site.Ip(6, 0), "prober", &site.record);
  std::vector<Address> balancers;
  for (const Process& each : site.processes) {
    if (Site::IsBalancer(each)) {
      balancers.push_back({each.ip, kPacketPort});
    }
  }
  // The routers move each flow to the next balancer after its first request, as
  // they do when one joins or leaves.
  prober.route = [&](const Flow& flow) -> std::optional<Address> {
    const bool moves = prober.Requests(flow) > 1 && site.trouble;
    return balancers[(flow.client.port + (moves ? 1U : 0U)) % balancers.size()];
  };
  prober.on_reset = [&](const Flow& flow, std::uint32_t ack,
                        const Address& sender, const Packet& packet) {
    if (packet.sum == 0 && site.Holder(flow, ack) >= 0) {
      site.record.Broken("FLOW: " + Text(sender) + " resets " + Text(flow));
    }
  };
  for (int round = 0; round < 5; ++round) {
    site.on_turn = [] {};
    site.Run(1500);
    const auto port = static_cast<std::uint16_t>(kNewPort + round);
    routes.push_back({port, "safe", "counter"});
    site.store->Put("op/config", Configuration(11 + 4 * round, routes));
    site.record.Write("the operator adds a route");
    double next = 0;
    const double begin = Now();
    site.on_turn = [&] {
      prober.Run();
      if (Now() >= next) {
        next = Now() + 20;
        if (Now() - begin < 500) {
          prober.Start({kRouteIp, port}, true, 40);
        }
      }
    };
    site.Run(1500);
  }
  return Finish(&site);
}

// Entries of another writer that are nested deeply, have a number too large or
// a port out of range; at the start of all processes, and later.
int OddEntries(const std::string& folder, const std::string& work) {
  constexpr std::size_t kNesting = 300000;
  Site site(folder, work, kTwoZones);
  site.MakeCommands();
  const auto put = [&](const std::string& name) {
    const std::string entry = site.Entry(0, "ready");
    const auto replaced = [&](const std::string& from, const std::string& to) {
      std::string text = entry;
      text.replace(text.find(from), from.size(), to);
      return text;
    };
    site.store->Put("servers/a-" + name + "-nested",
                    std::string(kNesting, '['));
    site.store->Put("servers/a-" + name + "-closed",
                    replaced("\"v1\"", std::string(kNesting, '[') +
                                           std::string(kNesting, ']')));
    site.store->Put("servers/a-" + name + "-number",
                    replaced("\"seq\":4", "\"seq\":1e999"));
    site.store->Put("servers/a-" + name + "-slots",
                    replaced("_limit\":3", "_limit\":99999999999999999999"));
    site.store->Put("servers/a-" + name + "-port",
                    replaced(":" + std::to_string(kAppPort), ":70000"));
    site.store->Put("op/evacuate", std::string(kNesting, '{'));
  };
  if (site.trouble) {
    put("start");
  }
  site.store->Put("op/config", Configuration(7, kRoutes));
  if (!site.Start()) {
    return kCouldNotRun;
  }
  CheckResets(&site);
  StartFeeds(&site, 4);
  site.Run(2000);
  if (site.trouble) {
    put("later");
    site.SendOddMessages();
    site.record.Write("another writer puts odd entries");
  }
  site.Run(1000);
  // The list is still followed: a target that drains gets no new flows.
  site.targets[0]->draining = true;
  site.PutEntry(0, "draining");
  const double drained = Now();
  site.targets[0]->on_opening = [&](const Flow& flow) {
    if (Now() - drained > kDrainMs) {
      site.record.Broken("DRAIN: " + Text(flow) + " reaches a draining target");
    }
  };
  double next = 0;
  site.on_turn = [&] {
    if (Now() >= next) {
      next = Now() + 50;
      for (const auto& each : site.clients) {
        each->Start({kRouteIp, kOrderPort}, false);
      }
    }
  };
  site.Run(6000);
  if (site.AnyEnded()) {
    site.record.Broken("LOST: a process has ended by itself");
  }
  return Finish(&site);
}

}  // namespace

const std::map<std::string, Case>& Cases() {
  static const std::map<std::string, Case> cases = {
      {"foreign-service", ForeignService},
      {"foreign-fields", ForeignFields},
      {"rolling-agents", RollingAgents},
      {"changed-weights", ChangedWeights},
      {"leaving-target", LeavingTarget},
      {"cut-readers", CutReaders},
      {"reused-address", ReusedAddress},
      {"new-route", NewRoute},
      {"odd-entries", OddEntries},
      {"paused-agent", PausedAgent},
      {"configuration-storm", ConfigurationStorm},
  };
  return cases;
}

}  // namespace standin
